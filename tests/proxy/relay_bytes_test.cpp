#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

int count(std::string const& text, std::string const& part)
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

std::function<script(received const&)> always(std::string const& answer)
{
    return [answer](received const&) {
        return script{answer};
    };
}

} // namespace

TEST_CASE("a request passes unchanged, with what only hosts may set")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", always(sound("done")));
    auto const caller = site.send(relay_fixture::request(
        "/book/",
        "a1",
        "X-Own: 1\r\nTenant: forged\r\nHold: h\r\nExpect-Instance: i-9\r\n"
        "Request-Priority: 0\r\nKv-From: x\r\nConnection: x-own\r\n"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("done") != std::string::npos;
    }));
    REQUIRE(ledger.requests.size() == 1);
    auto const& got = ledger.requests[0];
    CHECK(got.head.method == "POST");
    CHECK(got.head.target == "/book/x?q=1");
    CHECK(got.body == "order");
    CHECK(*got.head.find("Attempt-Id") == "a1");
    CHECK(*got.head.find("Tenant") == "desk");
    CHECK(*got.head.find("Expect-Instance") == "i-1");
    CHECK(*got.head.find("X-Own") == "1");
    CHECK(got.head.find("Authorization") == nullptr);
    CHECK(got.head.find("Hold") == nullptr);
    CHECK(got.head.find("Kv-From") == nullptr);
    CHECK(std::stoi(*got.head.find("Deadline-Ms")) <= 1'500);
    CHECK(caller->got.find("Response-Seal: s1") != std::string::npos);
    CHECK(caller->got.find("Attempt-Id: a1") != std::string::npos);
}

TEST_CASE("a connection serves one request after the other")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", always(sound("done")));
    auto const caller = site.send(relay_fixture::request("/book/", "a1")
                                  + relay_fixture::request("/book/", "a2"));
    REQUIRE(site.run_until([&] {
        return count(caller->got, "done") == 2;
    }));
    CHECK(ledger.connections == 1);
    CHECK(*ledger.requests[1].head.find("Attempt-Id") == "a2");
}

TEST_CASE("a body in chunks reaches the upstream whole")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", always(sound("done")));
    auto const caller =
        site.send("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n"
                  "Attempt-Id: a1\r\nAuthorization: Bearer secret\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                  "0\r\n\r\n");
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    REQUIRE(ledger.requests.size() == 1);
    CHECK(ledger.requests[0].body == "abcde");
}

// A request is hidden in the body of another by giving two lengths. Read in
// the other way, it would run under an id that its caller never sent.
TEST_CASE("lengths that contradict each other are refused")
{
    for (char const* const lengths :
         {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 4\r\nContent-Length: 5\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
          "Content-Length: 4x\r\n"}) {
        CAPTURE(lengths);
        relay_fixture site;
        auto& ledger = site.add("i-1", "ledger", always(sound("done")));
        auto const caller = site.send(
            "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n"
            "Authorization: Bearer secret\r\n"
            + std::string(lengths)
            + "\r\n0\r\n\r\nGET /view/x HTTP/1.1\r\n\r\n");
        REQUIRE(site.run_until([&] {
            return caller->closed;
        }));
        CHECK(caller->got.find("HTTP/1.1 400") == 0);
        CHECK(ledger.requests.empty());
    }
}

TEST_CASE("what is too long or comes too slowly is refused")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", always(sound("done")));
    auto const head = site.send(relay_fixture::request(
        "/book/", "a1", "X-Long: " + std::string(5'000, 'x') + "\r\n"));
    auto const body = site.send(
        relay_fixture::request("/book/", "a2", "", std::string(100'001, 'x')));
    REQUIRE(site.run_until([&] {
        return !head->got.empty() && !body->got.empty();
    }));
    CHECK(head->got.find("HTTP/1.1 431") == 0);
    CHECK(body->got.find("HTTP/1.1 413") == 0);
    CHECK(ledger.requests.empty());
}

// An upstream sends a second answer after a whole one, late, when the next
// request of another caller is already on that connection.
TEST_CASE("an answer with another request's id is never passed on")
{
    relay_fixture site;
    auto& ledger =
        site.add("i-1", "ledger", [](received const& request) -> script {
            if (*request.head.find("Attempt-Id") == "a2") {
                return {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                        "Response-Seal: s1\r\nContent-Length: 5\r\n\r\nalien"
                        + sound("right")};
            }
            return {sound("first")};
        });
    auto const caller = site.send(relay_fixture::request("/book/", "a1"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("first") != std::string::npos;
    }));
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("right") != std::string::npos;
    }));
    CHECK(caller->got.find("alien") == std::string::npos);
    caller->stream->write(relay_fixture::request("/book/", "a3"));
    REQUIRE(site.run_until([&] {
        return count(caller->got, "first") == 2;
    }));
    CHECK(ledger.connections == 2);
}

TEST_CASE("bytes after a whole answer end the connection to the upstream")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", always(sound("done") + "junk"));
    auto const caller = site.send(relay_fixture::request("/book/", "a1"));
    REQUIRE(site.run_until([&] {
        return ledger.ended == 1;
    }));
    CHECK(caller->got.find("junk") == std::string::npos);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    REQUIRE(site.run_until([&] {
        return count(caller->got, "done") == 2;
    }));
    CHECK(ledger.connections == 2);
}

// An upstream spoils an answer. Its caller gets a clear failure; a success
// that isn't the upstream's would book nothing.
TEST_CASE("what is no sound answer becomes a failure")
{
    for (std::string const& bad :
         {std::string("\x16\x03garbage\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                      "Content-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 200 OK\r\nResponse-Seal: s1\r\n"
                      "Content-Length: 2\r\n\r\nok"),
          sound("ok", "Content-Encoding: gzip\r\n")}) {
        CAPTURE(bad);
        relay_fixture site;
        site.add("i-1", "ledger", always(bad));
        auto const caller = site.send(relay_fixture::request("/book/"));
        REQUIRE(site.run_until([&] {
            return !caller->got.empty();
        }));
        CHECK(caller->got.find("HTTP/1.1 502") == 0);
        CHECK(caller->got.find("Response-Seal") == std::string::npos);
    }
}

TEST_CASE("an answer without a length is whole only if it isn't reset")
{
    std::string const head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: s1\r\n\r\n";
    relay_fixture whole;
    whole.add("i-1", "ledger", [&](received const&) -> script {
        return {head + "all of it", true};
    });
    auto const caller = whole.send(relay_fixture::request("/book/"));
    REQUIRE(whole.run_until([&] {
        return caller->got.find("all of it") != std::string::npos;
    }));
    CHECK(caller->got.find("HTTP/1.1 200") == 0);

    relay_fixture cut;
    cut.add("i-1", "ledger", [&](received const&) -> script {
        return {head + "part", false, true};
    });
    auto const other = cut.send(relay_fixture::request("/book/"));
    REQUIRE(cut.run_until([&] {
        return !other->got.empty();
    }));
    CHECK(other->got.find("HTTP/1.1 502") == 0);
}

// An engine refuses a long request before it has read it and keeps the
// connection: what is still unsent would be taken for the next request.
TEST_CASE("an upstream's own failure is passed on as it is")
{
    relay_fixture site;
    site.add("i-1",
             "ledger",
             always("HTTP/1.1 500 Oops\r\nAttempt-Id: @ID@\r\n"
                    "Response-Seal: s5\r\nContent-Length: 4\r\n\r\noops"));
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("oops") != std::string::npos;
    }));
    CHECK(caller->got.find("HTTP/1.1 500 Oops") == 0);
    CHECK(caller->got.find("Response-Seal: s5") != std::string::npos);
}

TEST_CASE("HEAD has a length and no body")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {"HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: s1\r\n"
                "Content-Length: 40\r\n\r\n"};
    });
    auto const caller =
        site.send("HEAD /view/x HTTP/1.1\r\nHost: desk.example\r\n"
                  "Attempt-Id: a1\r\nAuthorization: Bearer secret\r\n\r\n");
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    CHECK(caller->got.find("Content-Length: 40") != std::string::npos);
    CHECK(caller->got.substr(caller->got.size() - 4) == "\r\n\r\n");
}

// Many callers send large bodies at once. A host that held them all would
// run out of memory, and every caller's connection would break.
TEST_CASE("a host refuses what it has no memory for, and has it back later")
{
    relay_fixture site;
    site.context.settings.max_buffered_bytes = 150'000;
    site.add("i-1", "ledger", always(sound("done")));
    std::string const half = std::string(90'000, 'x');
    std::string const open = relay_fixture::request("/book/", "a1", "", half);
    auto const slow = site.send(open.substr(0, open.size() - 1));
    REQUIRE(site.run_until([&] {
        return site.context.buffered_bytes > 80'000;
    }));
    auto const other =
        site.send(relay_fixture::request("/book/", "a2", "", half));
    REQUIRE(site.run_until([&] {
        return !other->got.empty();
    }));
    CHECK(other->got.find("HTTP/1.1 503") == 0);
    CHECK(other->got.find("Retry-After") != std::string::npos);
    slow->stream->write("x");
    REQUIRE(site.run_until([&] {
        return slow->got.find("done") != std::string::npos;
    }));
    slow->stream->close();
    CHECK(site.run_until([&] {
        return site.context.buffered_bytes == 0;
    }));
}
