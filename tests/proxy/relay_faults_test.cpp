#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string const not_run = "HTTP/1.1 503 Full\r\nAttempt-Id: @ID@\r\n"
                            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

script silent(received const&)
{
    return {};
}

std::string sse_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id)
           + "\n\n";
}

} // namespace

// An upstream takes a booking and breaks. It may have run: sent again, a
// client would pay twice, and "not run" would make the caller do it.
TEST_CASE("a booking whose upstream broke is neither repeated nor denied")
{
    relay_fixture site;
    auto const breaks = [](received const&) -> script {
        return {"", false, true};
    };
    auto& one = site.add("i-1", "ledger", breaks);
    auto& two = site.add("i-2", "ledger", breaks);
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    CHECK(one.requests.size() + two.requests.size() == 1);
    CHECK(caller->got.find("HTTP/1.1 502") == 0);
    CHECK(caller->got.find("Retry-After") == std::string::npos);
}

TEST_CASE("a booking that an upstream has not run goes to another")
{
    relay_fixture site;
    int asked = 0;
    auto const first_is_full = [&asked](received const&) -> script {
        return {++asked == 1 ? not_run : sound("done")};
    };
    site.add("i-1", "ledger", first_is_full);
    site.add("i-2", "ledger", first_is_full);
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("done") != std::string::npos;
    }));
    CHECK(asked == 2);
}

TEST_CASE("where all are full the caller is told when to come back")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {not_run};
    });
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    CHECK(caller->got.find("HTTP/1.1 503") == 0);
    CHECK(caller->got.find("Retry-After: 0.") != std::string::npos);
}

TEST_CASE("a lookup whose upstream broke is made at another")
{
    relay_fixture site;
    int asked = 0;
    auto const first_breaks = [&asked](received const&) -> script {
        return ++asked == 1 ? script{"", false, true} : script{sound("seen")};
    };
    site.add("i-1", "ledger", first_breaks);
    site.add("i-2", "ledger", first_breaks);
    auto const caller = site.send(relay_fixture::request("/view/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("seen") != std::string::npos;
    }));
    CHECK(asked == 2);
    CHECK(site.reports.back().last_attempt == "broken");
    CHECK(site.reports.back().sent == 2);
}

// An upstream swallows a lookup. Its caller would wait until the deadline
// although another server is free.
TEST_CASE("a lookup that meets silence is made at another in time")
{
    relay_fixture site;
    int asked = 0;
    auto const first_is_silent = [&asked](received const&) -> script {
        return {++asked == 1 ? std::string() : sound("seen")};
    };
    auto& one = site.add("i-1", "ledger", first_is_silent);
    auto& two = site.add("i-2", "ledger", first_is_silent);
    auto const caller = site.send(relay_fixture::request("/view/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("seen") != std::string::npos;
    }));
    REQUIRE(site.run_until([&] {
        return one.ended + two.ended == 1;
    }));
}

// The only upstream is slow, and there is no other to ask: its answer counts.
TEST_CASE("a slow upstream without another is waited for")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        std::string const whole = sound("seen");
        std::string const begin = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n";
        return {"",
                false,
                false,
                begin + whole.substr(whole.find("Response-Seal")),
                400ms};
    });
    auto const caller = site.send(relay_fixture::request("/view/"));
    REQUIRE(site.run_until([&] {
        return !site.reports.empty();
    }));
    CHECK(site.reports.back().outcome == "served");
    CHECK(site.reports.back().sent == 1);
    CHECK(site.run_until([&caller] {
        return caller->got.find("seen") != std::string::npos;
    }));
}

// There is no other upstream when the only one falls silent; one joins soon.
TEST_CASE("a silent upstream is left for one that joins later")
{
    relay_fixture site;
    site.add("i-1", "ledger", silent);
    auto const caller = site.send(relay_fixture::request("/view/"));
    site.run_for(300ms);
    site.add("i-2", "ledger", [](received const&) -> script {
        return {sound("seen")};
    });
    CHECK(site.run_until([&] {
        return caller->got.find("seen") != std::string::npos;
    }));
}

TEST_CASE("an upstream that can't be reached costs a booking nothing")
{
    relay_fixture site;
    {
        routing::upstream dead;
        dead.id = "i-0";
        dead.service = "ledger";
        dead.at = {"127.0.0.1", 1};
        site.context.directory.put(dead);
    }
    auto& ledger = site.add("i-1", "ledger", [](received const&) -> script {
        return {sound("done")};
    });
    for (int number = 0; number < 4; ++number) {
        auto const caller = site.send(relay_fixture::request("/book/"));
        REQUIRE(site.run_until([&] {
            return caller->got.find("done") != std::string::npos;
        }));
    }
    CHECK(ledger.requests.size() == 4);
}

// A caller gives up and hangs up. The engine's work is for nobody.
TEST_CASE("work ends at the upstream when its caller leaves")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", silent);
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return ledger.requests.size() == 1;
    }));
    caller->stream->close();
    CHECK(site.run_until([&] {
        return ledger.ended == 1;
    }));
    CHECK(site.outcomes == std::vector<std::string>{"left"});
}

TEST_CASE("a request that is out of time gets its final answer")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", silent);
    auto const caller = site.send(relay_fixture::request("/short/"));
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    CHECK(caller->got.find("HTTP/1.1 504") == 0);
    CHECK(site.run_until([&] {
        return ledger.ended == 1;
    }));
}

TEST_CASE("events are passed on as they come, and the end is told")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {stream_head() + chunk(sse_event(1) + sse_event(2))
                + chunk(sse_event(3)) + "0\r\n\r\n"};
    });
    auto const caller = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("\r\n0\r\n\r\n") != std::string::npos;
    }));
    CHECK(caller->got.find(chunk(sse_event(1) + sse_event(2)))
          != std::string::npos);
    CHECK(caller->got.find(chunk(sse_event(3))) != std::string::npos);
}

// An engine reads a long prompt beside a stream. The first event is on time,
// and then the caller sees the words come in jerks; a log that looked at the
// first event alone would call that well served.
TEST_CASE("a stream with a long pause is reported as late")
{
    relay_fixture site;
    script paused;
    paused.answer = stream_head() + chunk(sse_event(1));
    paused.rest = chunk(sse_event(2)) + "0\r\n\r\n";
    paused.pause = 120ms;
    site.add("i-1", "ledger", [&paused](received const&) {
        return paused;
    });
    auto const caller = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&] {
        return !site.reports.empty();
    }));
    CHECK(site.reports[0].outcome == "served");
    CHECK(site.reports[0].longest_gap >= 120ms);
    CHECK(site.reports[0].upstream_wait >= 0ms);
    CHECK(!site.reports[0].on_time);
}

// An engine crashes in the middle of an event. A stream that ended there as
// if it were whole would be taken for the answer.
TEST_CASE("a broken stream never looks whole")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {stream_head() + chunk(sse_event(1) + "id: 2\nda"), false, true};
    });
    auto const caller = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&] {
        return caller->closed;
    }));
    CHECK(caller->broken);
    CHECK(caller->got.find("word1") != std::string::npos);
    CHECK(caller->got.find("\r\n0\r\n") == std::string::npos);
    CHECK(caller->got.find("id: 2") == std::string::npos);
    CHECK(site.outcomes == std::vector<std::string>{"cut"});
}

TEST_CASE("a stream that may be resumed goes on without a seam")
{
    relay_fixture site;
    auto const answer = [](received const& request) -> script {
        std::string const* const last = request.head.find("Last-Event-Id");
        if (last == nullptr) {
            return {
                stream_head() + chunk(sse_event(1) + "id: 2\nda"), false, true};
        }
        return {
            "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: other\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            + chunk(sse_event(std::stoi(*last) + 1)) + "0\r\n\r\n"};
    };
    site.add("i-1", "ledger", answer);
    site.add("i-2", "ledger", answer);
    auto const caller = site.send(relay_fixture::request("/resume/"));
    REQUIRE(site.run_until([&] {
        return caller->got.find("\r\n0\r\n\r\n") != std::string::npos;
    }));
    CHECK(caller->got.find(chunk(sse_event(1))) != std::string::npos);
    CHECK(caller->got.find(chunk(sse_event(2))) != std::string::npos);
    CHECK(caller->got.find("other") == std::string::npos);
}

// A key is taken away while the host can't hear of it, or was suspended: it
// wakes up with the request in its socket.
TEST_CASE("keys that nobody confirmed lately are refused, open or not")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", [](received const&) -> script {
        return {sound("done")};
    });
    site.boot_offset = 6'000ms;
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return !caller->got.empty();
    }));
    CHECK(caller->got.find("HTTP/1.1 503") == 0);
    CHECK(caller->got.find("Retry-After") != std::string::npos);
    CHECK(ledger.requests.empty());
}

TEST_CASE("a route's new service takes new requests, old ones go on")
{
    relay_fixture site;
    auto& old_one = site.add("i-1", "ledger", silent);
    auto& new_one = site.add("i-2", "fresh", [](received const&) -> script {
        return {sound("new")};
    });
    auto const before = site.send(relay_fixture::request("/book/", "a1"));
    REQUIRE(site.run_until([&] {
        return old_one.requests.size() == 1;
    }));
    auto lists = site.context.table->config();
    lists.version = 2;
    lists.routes[0].split = {{"fresh", 1}};
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const after = site.send(relay_fixture::request("/book/", "a2"));
    REQUIRE(site.run_until([&] {
        return after->got.find("new") != std::string::npos;
    }));
    CHECK(new_one.requests.size() == 1);
    CHECK(before->got.empty());
    CHECK(!before->closed);
}

// The host is told to stop while callers keep their connections and go on
// sending. Nothing that it takes may be lost.
TEST_CASE("a planned stop serves what comes and then ends")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound("done")};
    });
    auto const kept = site.connect();
    site.run_for(20ms);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now(), [&stopped] {
        stopped = true;
    });
    kept->stream->write(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&] {
        return kept->got.find("done") != std::string::npos;
    }));
    CHECK(kept->got.find("Connection: close") != std::string::npos);
    CHECK(!stopped);
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

// The same request breaks each engine that runs it, and its caller sends it
// again and again.
TEST_CASE("what breaks one upstream after the other is stopped")
{
    relay_fixture site;
    auto const breaks = [](received const&) -> script {
        return {"", false, true};
    };
    std::vector<scripted_upstream*> ledgers;
    for (char const* const id : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        ledgers.push_back(&site.add(id, "ledger", breaks));
    }
    std::string last;
    for (int number = 0; number < 6; ++number) {
        auto const caller = site.send(
            relay_fixture::request("/book/", "a" + std::to_string(number)));
        REQUIRE(site.run_until([&] {
            return !caller->got.empty();
        }));
        last = caller->got;
    }
    std::size_t sent = 0;
    for (scripted_upstream const* const ledger : ledgers) {
        sent += ledger->requests.size();
    }
    CHECK(sent == 3);
    CHECK(last.find("quarantined") != std::string::npos);
}
