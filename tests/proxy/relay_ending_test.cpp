#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string const unframed_head = "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                                  "Response-Seal: s1\r\n"
                                  "Content-Type: text/event-stream\r\n\r\n";

std::string const last_chunk = "\r\n0\r\n\r\n";

std::string sse_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id)
           + "\n\n";
}

/// An answer that ends with its connection, which is closed without an error.
script unframed(std::string const& events)
{
    return {unframed_head + events, true};
}

/// Sends a request to a relay with one upstream and returns the caller when the
/// request has ended.
std::shared_ptr<plain_client> ask(relay_fixture& fixture,
                                  script const& answer,
                                  std::string const& path = "/stream/")
{
    fixture.add("i-1", "ledger", [answer](received const&) {
        return answer;
    });
    auto caller = fixture.send(relay_fixture::request(path));
    CHECK(fixture.run_until([&fixture] {
        return !fixture.outcomes.empty();
    }));
    fixture.run_for(20ms);
    return caller;
}

/// Checks that a caller who got the first event sees that the stream broke off.
void check_is_cut(relay_fixture const& fixture, plain_client const& caller)
{
    CHECK(fixture.outcomes == std::vector<std::string>{"cut"});
    CHECK(caller.broken);
    CHECK(caller.received_bytes.find("word1") != std::string::npos);
    CHECK(caller.received_bytes.find("id: 2") == std::string::npos);
    CHECK(caller.received_bytes.find(last_chunk) == std::string::npos);
}

} // namespace

// Guards against a caller who takes a stream that its engine broke off for the
// complete answer.
TEST_CASE("a stream without a length that ends inside an event is cut")
{
    relay_fixture fixture;
    auto const caller = ask(fixture, unframed(sse_event(1) + "id: 2\nda"));
    check_is_cut(fixture, *caller);
}

// Guards against the same where something between has framed what it got.
TEST_CASE("a framed stream that ends inside an event is cut")
{
    std::string const events = sse_event(1) + "id: 2\ndata: wor\n";
    for (std::string const& answer :
         {stream_head() + chunk(events) + "0\r\n\r\n", valid_answer(events)}) {
        relay_fixture fixture;
        auto const caller = ask(fixture, {answer});
        check_is_cut(fixture, *caller);
    }
}

// Guards against an answer that an engine broke off before its first event.
TEST_CASE("a stream without a length and without an event is not complete")
{
    for (char const* const events : {"", "id: 1\nda"}) {
        relay_fixture fixture;
        auto const caller = ask(fixture, unframed(events));
        CHECK(caller->received_bytes.rfind("HTTP/1.1 502", 0) == 0);
        CHECK(caller->received_bytes.find("Response-Seal")
              == std::string::npos);
    }
}

TEST_CASE("a resumable stream that ends inside an event goes on elsewhere")
{
    relay_fixture fixture;
    auto const answer = [](received const& request) -> script {
        std::string const* const last = request.head.find("Last-Event-Id");
        return last == nullptr
                   ? unframed(sse_event(1) + "id: 2\nda")
                   : unframed(sse_event(std::stoi(*last) + 1) + sse_event(3));
    };
    fixture.add("i-1", "ledger", answer);
    fixture.add("i-2", "ledger", answer);
    auto const caller = fixture.send(relay_fixture::request("/resume/"));
    REQUIRE(fixture.run_until([&] {
        return !fixture.outcomes.empty();
    }));
    fixture.run_for(20ms);
    CHECK(fixture.outcomes == std::vector<std::string>{"served"});
    CHECK(caller->received_bytes.find(chunk(sse_event(1))
                                      + chunk(sse_event(2) + sse_event(3)))
          != std::string::npos);
    CHECK(caller->received_bytes.find(last_chunk) != std::string::npos);
}

// Guards against streams of sound engines being cut.
TEST_CASE("a stream that ends after an event is complete in each framing")
{
    std::string const events = sse_event(1) + sse_event(2);
    std::string const comment = ": done\n";
    for (script const& answer :
         {unframed(events),
          unframed(events + comment),
          script{stream_head() + chunk(events) + "0\r\n\r\n"},
          script{stream_head() + chunk(events + comment) + "0\r\n\r\n"},
          script{valid_answer(events)}}) {
        relay_fixture fixture;
        auto const caller = ask(fixture, answer);
        CHECK(fixture.outcomes == std::vector<std::string>{"served"});
        CHECK(caller->received_bytes.find(events) != std::string::npos);
        CHECK(caller->received_bytes.find(last_chunk) != std::string::npos);
        bool const has_comment =
            answer.answer.find(comment) != std::string::npos;
        CHECK(has_comment
              == (caller->received_bytes.find(comment) != std::string::npos));
    }
}

TEST_CASE("an answer that has no body is complete on the route of a stream")
{
    relay_fixture fixture;
    auto const caller = ask(fixture,
                            {"HTTP/1.1 204 No Content\r\nAttempt-Id: @ID@\r\n"
                             "Response-Seal: s1\r\n\r\n"});
    CHECK(fixture.outcomes == std::vector<std::string>{"served"});
    CHECK(caller->received_bytes.rfind("HTTP/1.1 204", 0) == 0);
}

TEST_CASE("a stream that its caller resumes after the last event is complete")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) {
        return unframed("");
    });
    fixture.age_history(1min);
    auto const caller = fixture.send(
        relay_fixture::request("/resume/", "a1", "Last-Event-Id: 7\r\n"));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.outcomes.empty();
    }));
    CHECK(fixture.outcomes == std::vector<std::string>{"served"});
}

// Guards against a caller who waits until the deadline although the connection
// of the answer has ended.
TEST_CASE("a late answer that ends with its connection ends the attempt")
{
    relay_fixture fixture;
    auto const started = fixture.loop.now();
    auto const caller =
        ask(fixture,
            {"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\n"
             "Response-Seal: s1\r\n\r\nanswer to another request",
             true},
            "/book/");
    CHECK(fixture.loop.now() - started < 500ms);
    CHECK(caller->received_bytes.rfind("HTTP/1.1 502", 0) == 0);
    CHECK(caller->received_bytes.find("another") == std::string::npos);
}

// Guards against a resumed stream that had nothing left to send being cut.
TEST_CASE("a stream that is resumed after its last event is complete")
{
    relay_fixture fixture;
    auto const answer = [](received const& request) -> script {
        return request.head.find("Last-Event-Id") == nullptr
                   ? script{stream_head() + chunk(sse_event(1)), false, true}
                   : unframed("");
    };
    fixture.add("i-1", "ledger", answer);
    fixture.add("i-2", "ledger", answer);
    auto const caller = fixture.send(relay_fixture::request("/resume/"));
    REQUIRE(fixture.run_until([&] {
        return !fixture.outcomes.empty();
    }));
    fixture.run_for(20ms);
    CHECK(fixture.outcomes == std::vector<std::string>{"served"});
    CHECK(caller->received_bytes.find(last_chunk) != std::string::npos);
}

// An engine was silent for a second, so that its stream lasts until the timeout
// of its route. The time reserved for a final answer was cut off its end.
TEST_CASE("a stream that has begun is forwarded until its timeout")
{
    relay_fixture fixture;
    auto lists = fixture.context.table->config();
    lists.routes[2].timeout = 400ms;
    fixture.context.table = std::make_shared<routing::route_table const>(lists);
    int deadline_ms = 0;
    fixture.add("i-1", "ledger", [&deadline_ms](received const& got) -> script {
        deadline_ms = std::stoi(*got.head.find("Deadline-Ms"));
        return {stream_head() + chunk("data: 1\n\n")};
    });
    auto const caller = fixture.send(relay_fixture::request("/stream/"));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    CHECK(fixture.reports.back().outcome == "cut");
    CHECK(fixture.reports.back().total >= 400ms);
    CHECK(fixture.run_until([&caller] {
        return caller->closed;
    }));
    CHECK(caller->broken);
    CHECK(deadline_ms > 0);
}

// Guards against a refusal's text inside a stream that has begun.
TEST_CASE("a broken stream that no other engine can take over is cut")
{
    relay_fixture fixture;
    script broken{stream_head() + chunk(sse_event(1))};
    broken.resets = true;
    auto const caller = ask(fixture, broken, "/resume/");
    check_is_cut(fixture, *caller);
    CHECK(caller->received_bytes.find("502") == std::string::npos);
}
