#include "proxy/serve_relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

constexpr std::size_t longest_answer = 4'000'000;
constexpr std::size_t most_kept = 2 * longest_answer;
constexpr std::size_t faulty_calls = 40;
/// A kept answer may move to a place of twice its size, and each connection
/// may hold bytes that have not been parsed.
constexpr std::size_t max_growth = 3 * most_kept + faulty_calls * 1'048'576;

net::relay_settings small_limits()
{
    net::relay_settings settings;
    settings.max_body_bytes = longest_answer;
    settings.max_kept_bytes = most_kept;
    settings.upstreams.progress = 1'000ms;
    return settings;
}

script endless(std::string const& head, std::string const& bytes)
{
    script plan{head};
    plan.endless = bytes;
    return plan;
}

} // namespace

// Guards against a host of `serve` that some services fill with answers without
// end: each is bounded, their sum was not.
TEST_CASE("answers without end are bounded together, and others are served")
{
    std::string const bytes(16'384, 'x');
    for (script const& plan :
         {endless("HTTP/1.1 200 OK\r\n\r\n", bytes),
          endless("HTTP/1.1 500 X\r\n\r\n", bytes),
          endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  chunk(bytes))}) {
        serve_relay host(
            [&plan](received const& request) {
                bool const is_sound =
                    request.head.target.find("sound") != std::string::npos;
                return is_sound ? script{"HTTP/1.1 200 OK\r\nContent-Length: 5"
                                         "\r\n\r\nsound"}
                                : plan;
            },
            small_limits());
        std::size_t const before = allocated_bytes();
        std::vector<std::shared_ptr<caller_result>> faulty;
        std::vector<std::shared_ptr<caller_result>> sound;
        for (std::size_t call = 0; call < faulty_calls; ++call) {
            faulty.push_back(host.call("/load"));
            sound.push_back(host.call("/sound"));
        }
        std::size_t const most =
            std::max(host.run_until_ended(sound), host.run_until_ended(faulty));
        for (auto const& call : sound) {
            CHECK(call->status == 200);
            CHECK(call->body == "sound");
        }
        for (auto const& call : faulty) {
            CHECK(call->status == 502);
        }
        CHECK(most < before + max_growth);
    }
}

TEST_CASE("an answer as long as allowed is served")
{
    std::string const body(longest_answer, 'y');
    serve_relay host(
        [&body](received const&) {
            return script{"HTTP/1.1 200 OK\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body};
        },
        small_limits());
    std::vector<std::shared_ptr<caller_result>> const calls{host.call("/long"),
                                                            host.call("/long")};
    host.run_until_ended(calls);
    for (auto const& call : calls) {
        CHECK(call->status == 200);
        CHECK(call->body == body);
    }
}

// Guards against answers that are broken off for the size of their events,
// which is many times that of the answer.
TEST_CASE("an answer that is merged from events counts by its text")
{
    net::answer_assembler assembler;
    constexpr std::size_t tokens = 1'000;
    std::string const token = "word ";
    std::size_t events = 0;
    for (std::size_t number = 0; number < tokens; ++number) {
        std::string const event =
            R"(data: {"id":"c1","object":"chat.completion.chunk","choices":)"
            R"([{"index":0,"delta":{"content":")"
            + token + R"("},"finish_reason":null}]})" + "\n\n";
        events += event.size();
        REQUIRE(assembler.add(event));
    }
    CHECK(assembler.size() >= tokens * token.size());
    CHECK(assembler.size() < events / 2);
    CHECK(assembler.finish().size() >= tokens * token.size());
}
