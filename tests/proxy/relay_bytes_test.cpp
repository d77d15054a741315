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

std::function<script(received const&)> answer_with(std::string const& answer)
{
    return [answer](received const&) {
        return script{answer};
    };
}

} // namespace

TEST_CASE("a request is forwarded unchanged except for host-only headers")
{
    relay_fixture fixture;
    auto& ledger =
        fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
    auto const caller = fixture.send(relay_fixture::request(
        "/book/",
        "a1",
        "X-Own: 1\r\nTenant: forged\r\nHold: h\r\nExpect-Instance: i-9\r\n"
        "Request-Priority: 0\r\nKv-From: x\r\nConnection: x-own\r\n"));
    REQUIRE(fixture.run_until([&] {
        return caller->received_bytes.find("done") != std::string::npos;
    }));
    REQUIRE(ledger.requests.size() == 1);
    auto const& forwarded = ledger.requests[0];
    CHECK(forwarded.head.method == "POST");
    CHECK(forwarded.head.target == "/book/x?q=1");
    CHECK(forwarded.body == "order");
    CHECK(*forwarded.head.find("Attempt-Id") == "a1");
    CHECK(*forwarded.head.find("Tenant") == "desk");
    CHECK(*forwarded.head.find("Expect-Instance") == "i-1");
    CHECK(*forwarded.head.find("X-Own") == "1");
    CHECK(forwarded.head.find("Authorization") == nullptr);
    CHECK(forwarded.head.find("Hold") == nullptr);
    CHECK(forwarded.head.find("Kv-From") == nullptr);
    CHECK(std::stoi(*forwarded.head.find("Deadline-Ms")) <= 1'500);
    CHECK(caller->received_bytes.find("Response-Seal: s1")
          != std::string::npos);
    CHECK(caller->received_bytes.find("Attempt-Id: a1") != std::string::npos);
}

TEST_CASE("a connection serves one request after the other")
{
    relay_fixture fixture;
    auto& ledger =
        fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
    auto const caller = fixture.send(relay_fixture::request("/book/", "a1")
                                     + relay_fixture::request("/book/", "a2"));
    REQUIRE(fixture.run_until([&] {
        return count(caller->received_bytes, "done") == 2;
    }));
    CHECK(ledger.connections == 1);
    CHECK(*ledger.requests[1].head.find("Attempt-Id") == "a2");
}

TEST_CASE("a chunked body reaches the upstream complete")
{
    relay_fixture fixture;
    auto& ledger =
        fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
    auto const caller =
        fixture.send("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n"
                     "Attempt-Id: a1\r\nAuthorization: Bearer secret\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                     "0\r\n\r\n");
    REQUIRE(fixture.run_until([&] {
        return !caller->received_bytes.empty();
    }));
    REQUIRE(ledger.requests.size() == 1);
    CHECK(ledger.requests[0].body == "abcde");
}

// Contradictory lengths allow request smuggling: a request hidden in the body
// of another one would run under an id that its caller never sent.
TEST_CASE("contradictory lengths are rejected")
{
    for (char const* const lengths :
         {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 4\r\nContent-Length: 5\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
          "Content-Length: 4x\r\n"}) {
        CAPTURE(lengths);
        relay_fixture fixture;
        auto& ledger =
            fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
        auto const caller = fixture.send(
            "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n"
            "Authorization: Bearer secret\r\n"
            + std::string(lengths)
            + "\r\n0\r\n\r\nGET /view/x HTTP/1.1\r\n\r\n");
        REQUIRE(fixture.run_until([&] {
            return caller->closed;
        }));
        CHECK(caller->received_bytes.find("HTTP/1.1 400") == 0);
        CHECK(ledger.requests.empty());
    }
}

TEST_CASE("a head or body that is too long is rejected")
{
    relay_fixture fixture;
    auto& ledger =
        fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
    auto const head = fixture.send(relay_fixture::request(
        "/book/", "a1", "X-Long: " + std::string(5'000, 'x') + "\r\n"));
    auto const body = fixture.send(
        relay_fixture::request("/book/", "a2", "", std::string(100'001, 'x')));
    REQUIRE(fixture.run_until([&] {
        return !head->received_bytes.empty() && !body->received_bytes.empty();
    }));
    CHECK(head->received_bytes.find("HTTP/1.1 431") == 0);
    CHECK(body->received_bytes.find("HTTP/1.1 413") == 0);
    CHECK(ledger.requests.empty());
}

// An upstream sends a duplicate answer late, when the connection already
// carries the next request of another caller.
TEST_CASE("an answer with another request's id is never forwarded")
{
    relay_fixture fixture;
    auto& ledger =
        fixture.add("i-1", "ledger", [](received const& request) -> script {
            if (*request.head.find("Attempt-Id") == "a2") {
                return {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                        "Response-Seal: s1\r\nContent-Length: 5\r\n\r\nalien"
                        + valid_answer("right")};
            }
            return {valid_answer("first")};
        });
    auto const caller = fixture.send(relay_fixture::request("/book/", "a1"));
    REQUIRE(fixture.run_until([&] {
        return caller->received_bytes.find("first") != std::string::npos;
    }));
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    REQUIRE(fixture.run_until([&] {
        return caller->received_bytes.find("right") != std::string::npos;
    }));
    CHECK(caller->received_bytes.find("alien") == std::string::npos);
    caller->stream->write(relay_fixture::request("/book/", "a3"));
    REQUIRE(fixture.run_until([&] {
        return count(caller->received_bytes, "first") == 2;
    }));
    CHECK(ledger.connections == 2);
}

TEST_CASE("bytes after a complete answer close the upstream connection")
{
    relay_fixture fixture;
    auto& ledger = fixture.add(
        "i-1", "ledger", answer_with(valid_answer("done") + "junk"));
    auto const caller = fixture.send(relay_fixture::request("/book/", "a1"));
    REQUIRE(fixture.run_until([&] {
        return ledger.connections_ended == 1;
    }));
    CHECK(caller->received_bytes.find("junk") == std::string::npos);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    REQUIRE(fixture.run_until([&] {
        return count(caller->received_bytes, "done") == 2;
    }));
    CHECK(ledger.connections == 2);
}

// An upstream's answer is damaged or lacks the headers of a valid one. The
// caller must get a clear failure: a success that isn't the upstream's would
// book nothing.
TEST_CASE("an invalid answer becomes a failure")
{
    for (std::string const& bad :
         {std::string("\x16\x03garbage\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                      "Content-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 200 OK\r\nResponse-Seal: s1\r\n"
                      "Content-Length: 2\r\n\r\nok"),
          valid_answer("ok", "Content-Encoding: gzip\r\n")}) {
        CAPTURE(bad);
        relay_fixture fixture;
        fixture.add("i-1", "ledger", answer_with(bad));
        auto const caller = fixture.send(relay_fixture::request("/book/"));
        REQUIRE(fixture.run_until([&] {
            return !caller->received_bytes.empty();
        }));
        CHECK(caller->received_bytes.find("HTTP/1.1 502") == 0);
        CHECK(caller->received_bytes.find("Response-Seal")
              == std::string::npos);
    }
}

TEST_CASE("an answer without a length is complete only without a reset")
{
    std::string const head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: s1\r\n\r\n";
    relay_fixture complete;
    complete.add("i-1", "ledger", [&](received const&) -> script {
        return {head + "all of it", true};
    });
    auto const caller = complete.send(relay_fixture::request("/book/"));
    REQUIRE(complete.run_until([&] {
        return caller->received_bytes.find("all of it") != std::string::npos;
    }));
    CHECK(caller->received_bytes.find("HTTP/1.1 200") == 0);

    relay_fixture cut;
    cut.add("i-1", "ledger", [&](received const&) -> script {
        return {head + "part", false, true};
    });
    auto const other = cut.send(relay_fixture::request("/book/"));
    REQUIRE(cut.run_until([&] {
        return !other->received_bytes.empty();
    }));
    CHECK(other->received_bytes.find("HTTP/1.1 502") == 0);
}

// A generated error would hide the upstream's own reason. An engine may refuse
// a long request before it has read all of it and keep the connection; the
// unsent rest would be parsed as the next request.
TEST_CASE("an upstream's error answer is forwarded unchanged")
{
    relay_fixture fixture;
    fixture.add(
        "i-1",
        "ledger",
        answer_with("HTTP/1.1 500 Oops\r\nAttempt-Id: @ID@\r\n"
                    "Response-Seal: s5\r\nContent-Length: 4\r\n\r\noops"));
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    REQUIRE(fixture.run_until([&] {
        return caller->received_bytes.find("oops") != std::string::npos;
    }));
    CHECK(caller->received_bytes.find("HTTP/1.1 500 Oops") == 0);
    CHECK(caller->received_bytes.find("Response-Seal: s5")
          != std::string::npos);
}

TEST_CASE("an answer to HEAD has a length and no body")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {"HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: s1\r\n"
                "Content-Length: 40\r\n\r\n"};
    });
    auto const caller =
        fixture.send("HEAD /view/x HTTP/1.1\r\nHost: desk.example\r\n"
                     "Attempt-Id: a1\r\nAuthorization: Bearer secret\r\n\r\n");
    REQUIRE(fixture.run_until([&] {
        return !caller->received_bytes.empty();
    }));
    CHECK(caller->received_bytes.find("Content-Length: 40")
          != std::string::npos);
    CHECK(caller->received_bytes.substr(caller->received_bytes.size() - 4)
          == "\r\n\r\n");
}

// Many callers send large bodies at once. A host that buffered them all would
// run out of memory, and every caller would lose its connection.
TEST_CASE("a host rejects bodies beyond its limit and frees the memory later")
{
    relay_fixture fixture;
    fixture.context.settings.max_buffered_bytes = 150'000;
    fixture.add("i-1", "ledger", answer_with(valid_answer("done")));
    std::string const half = std::string(90'000, 'x');
    std::string const open = relay_fixture::request("/book/", "a1", "", half);
    auto const slow = fixture.send(open.substr(0, open.size() - 1));
    REQUIRE(fixture.run_until([&] {
        return fixture.context.buffered_bytes > 80'000;
    }));
    auto const other =
        fixture.send(relay_fixture::request("/book/", "a2", "", half));
    REQUIRE(fixture.run_until([&] {
        return !other->received_bytes.empty();
    }));
    CHECK(other->received_bytes.find("HTTP/1.1 503") == 0);
    CHECK(other->received_bytes.find("Retry-After") != std::string::npos);
    slow->stream->write("x");
    REQUIRE(fixture.run_until([&] {
        return slow->received_bytes.find("done") != std::string::npos;
    }));
    slow->stream->close();
    CHECK(fixture.run_until([&] {
        return fixture.context.buffered_bytes == 0;
    }));
}
