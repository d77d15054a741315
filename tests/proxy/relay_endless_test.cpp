#include "proxy/allocated_bytes.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Far above what one request may buffer.
constexpr std::size_t max_growth = 24'000'000;

/// What an upstream sends without end.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string endless;
};

std::string const other_request = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                                  "Attempt-Id: other\r\n"
                                  "Content-Length: 999999999999\r\n\r\n";
std::string const wrong_upstream =
    "HTTP/1.1 421 Misdirected\r\nAttempt-Id: @ID@\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
std::string const rejection =
    "HTTP/1.1 503 Busy\r\nAttempt-Id: @ID@\r\nNot-Executed: 1\r\n"
    "Content-Length: 999999999999\r\n\r\n";
std::string const unsealed = "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n\r\n";
std::string const bytes(4'096, 'x');

/// Answers that are none, whatever follows.
std::vector<endless_answer> malformed_answers()
{
    return {{"head", "HTTP/1.1 200 OK\r\n", "X-More: " + bytes + "\r\n"},
            {"header line", "HTTP/1.1 200 OK\r\nX-More: ", bytes},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"chunk size", stream_head(), std::string(4'096, '0')},
            {"chunk extension", stream_head() + "1;", bytes},
            {"event", stream_head(), chunk("data: " + bytes)},
            {"line of an event", stream_head(), chunk(bytes)},
            {"another request's answer", other_request, bytes},
            {"answer of another upstream", wrong_upstream, chunk(bytes)},
            {"rejection", rejection, bytes},
            {"answer without a seal", unsealed, bytes}};
}

} // namespace

// Guards against a host that fills its memory, and a caller who is not served
// although another upstream could, while one sends without end.
TEST_CASE("bytes without end that are no answer end their attempt")
{
    for (endless_answer const& sent : malformed_answers()) {
        CAPTURE(sent.name);
        relay_fixture fixture;
        script plan{sent.begin};
        plan.endless = sent.endless;
        auto& endless = fixture.add("i-1", "ledger", [plan](received const&) {
            return plan;
        });
        std::size_t const before = allocated_bytes();
        std::size_t most = before;
        auto const sent_at = fixture.loop.now();
        auto const caller =
            fixture.send(relay_fixture::request("/resume/", "a1"));
        REQUIRE(fixture.run_until([&] {
            most = std::max(most, allocated_bytes());
            return endless.connections_ended > 0;
        }));
        auto const state = fixture.context.directory.find("i-1");
        CHECK(state->health.failure_share(fixture.loop.now()) > 0.0);
        // Before the deadline of the request.
        CHECK(fixture.loop.now() - sent_at < 1'400ms);
        CHECK(fixture.run_until([&] {
            return !caller->received_bytes.empty();
        }));
        CHECK(most < before + max_growth);
    }
}

// The same a byte at a time: the caller is answered by the deadline, and the
// connection goes with the attempt.
TEST_CASE("bytes without end that trickle end with the deadline")
{
    for (endless_answer const& sent : malformed_answers()) {
        CAPTURE(sent.name);
        relay_fixture fixture;
        script plan{sent.begin};
        plan.endless = sent.endless.substr(0, 1);
        plan.delay = 20ms;
        auto& endless = fixture.add("i-1", "ledger", [plan](received const&) {
            return plan;
        });
        auto const sent_at = fixture.loop.now();
        auto const caller =
            fixture.send(relay_fixture::request("/short/", "a1"));
        bool const has_ended = fixture.run_until([&] {
            return endless.connections_ended > 0 && !fixture.outcomes.empty();
        });
        CHECK(has_ended);
        CHECK(!caller->received_bytes.empty());
        CHECK(fixture.loop.now() - sent_at < 800ms);
    }
}

// Guards against other callers who wait while one answer has no end.
TEST_CASE("a plain answer without end holds up no other request")
{
    relay_fixture fixture;
    script plan{"HTTP/1.1 200 OK\r\nResponse-Seal: s1\r\n"
                "Attempt-Id: @ID@\r\n\r\n"};
    plan.endless = bytes;
    auto& endless =
        fixture.add("i-1", "ledger", [plan](received const& request) {
            return request.head.target.rfind("/short/", 0) == 0
                       ? plan
                       : script{valid_answer("done")};
        });
    std::size_t const before = allocated_bytes();
    std::size_t most = 0;
    auto const reading = fixture.send(relay_fixture::request("/short/", "a1"));
    auto const other = fixture.send(relay_fixture::request("/view/", "a2"));
    REQUIRE(fixture.run_until([&] {
        return other->received_bytes.find("done") != std::string::npos;
    }));
    REQUIRE(fixture.run_until([&] {
        std::size_t const now = allocated_bytes();
        std::size_t const of_caller = reading->received_bytes.capacity();
        most = std::max(most, now - std::min(now, of_caller));
        return endless.connections_ended > 0;
    }));
    // What it got must not look complete.
    CHECK(reading->received_bytes.find("\r\n0\r\n\r\n") == std::string::npos);
    CHECK(most < before + max_growth);
}
