#include "stand_ins/engine.hpp"
#include "stand_ins/http_client.hpp"
#include "stand_ins/token_text.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace caperjunction;
using testing::http_call;

namespace {

constexpr char const* prompt = "a rose by any name";

std::string body_of(std::string const& text, int tokens)
{
    nlohmann::json const body{{"model", "drafter"},
                              {"prompt", text},
                              {"stream", true},
                              {"max_tokens", tokens}};
    return body.dump();
}

/// Returns the concatenated texts of all stream events.
std::string text_of(std::string const& stream)
{
    std::string text;
    std::size_t begin = 0;
    constexpr std::size_t skip = 6;
    while ((begin = stream.find("data: {", begin)) != std::string::npos) {
        std::size_t const end = stream.find("\n\n", begin);
        if (end == std::string::npos) {
            break;
        }
        auto const event = nlohmann::json::parse(
            stream.substr(begin + skip, end - begin - skip));
        text += event["choices"][0]["text"].get<std::string>();
        begin = end;
    }
    return text;
}

struct fixture
{
    explicit fixture(stand_ins::engine_settings settings = {})
        : engine(loop.base(), without_delays(std::move(settings)))
    {
    }

    static stand_ins::engine_settings
    without_delays(stand_ins::engine_settings settings)
    {
        settings.tokens_per_second = 0;
        settings.first_token_delay = std::chrono::milliseconds(0);
        return settings;
    }

    std::unique_ptr<http_call> send(std::string const& text,
                                    int tokens,
                                    http_call::headers const& extra = {})
    {
        return std::make_unique<http_call>(loop,
                                           engine.address(),
                                           EVHTTP_REQ_POST,
                                           "/v1/completions",
                                           body_of(text, tokens),
                                           extra);
    }

    bool run_until_ended(http_call const& call)
    {
        return loop.run_until([&] {
            return call.has_ended();
        });
    }

    testing::test_loop loop;
    stand_ins::engine engine;
};

} // namespace

TEST_CASE("a resumed answer equals an uninterrupted one")
{
    fixture test;
    auto const uninterrupted = test.send(prompt, 40);
    auto const resumed =
        test.send(prompt, 40, {{"caperjunction-resume-offset", "25"}});
    REQUIRE(test.run_until_ended(*uninterrupted));
    REQUIRE(test.run_until_ended(*resumed));
    CHECK(text_of(uninterrupted->body()) == stand_ins::answer_text(prompt, 40));
    CHECK(stand_ins::answer_text(prompt, 25) + text_of(resumed->body())
          == text_of(uninterrupted->body()));
    CHECK(uninterrupted->body().find("data: [DONE]") != std::string::npos);
    CHECK(test.engine.counters().resumed == 1);
    CHECK(test.engine.counters().tokens == 55);
}

// Guards against slots that stay occupied after a client disconnects during
// its answer, and against waiting requests that are not served by priority.
TEST_CASE("a client that disconnects frees its slot for the most urgent")
{
    stand_ins::engine_settings settings;
    settings.slots = 1;
    fixture test(settings);
    stand_ins::engine_faults stalls;
    stalls.stall_after_tokens = 2;
    test.engine.set_faults(stalls);
    auto const first = test.send(prompt, 10);
    REQUIRE(test.loop.run_until([&] {
        return test.engine.counters().stalled == 1;
    }));
    test.engine.set_faults({});
    auto const less_urgent =
        test.send("low", 3, {{"caperjunction-priority", "5"}});
    auto const more_urgent =
        test.send("high", 3, {{"caperjunction-priority", "1"}});
    REQUIRE(test.loop.run_until([&] {
        return test.engine.waiting() == 2;
    }));
    bool less_urgent_was_open = false;
    first->close();
    REQUIRE(test.loop.run_until([&] {
        less_urgent_was_open =
            less_urgent_was_open
            || (more_urgent->has_ended() && !less_urgent->has_ended());
        return more_urgent->has_ended() && less_urgent->has_ended();
    }));
    CHECK(less_urgent_was_open);
    CHECK(test.engine.counters().cancelled == 1);
    CHECK(test.engine.counters().wasted_tokens == 2);
    CHECK(test.engine.running() == 0);
}

// The prompt crashes every engine that runs it, and its caller retries. Each
// crash must also end the other answers on the engine.
TEST_CASE("a request that crashes the engine ends all its answers, each time")
{
    stand_ins::engine_settings settings;
    settings.restart_delay = std::chrono::milliseconds(1);
    fixture test(settings);
    stand_ins::engine_faults faults;
    faults.crash_on_text = "killer";
    faults.stall_after_tokens = 1;
    for (std::uint64_t round = 1; round <= 2; ++round) {
        test.engine.set_faults(faults);
        auto other = test.send(prompt, 5);
        // The request may arrive while the engine is still restarting.
        REQUIRE(test.loop.run_until([&] {
            if (other->has_ended()) {
                other = test.send(prompt, 5);
            }
            return test.engine.running() == 1;
        }));
        auto const crashing = test.send("a killer prompt", 5);
        REQUIRE(test.run_until_ended(*crashing));
        REQUIRE(test.run_until_ended(*other));
        CHECK(other->body().find("[DONE]") == std::string::npos);
        CHECK(test.engine.counters().crashes == round);
    }
    CHECK(test.engine.counters().finished == 0);
}

// Simulates a connection that the network has lost: it stays open but
// delivers nothing. New connections work.
TEST_CASE("a stalled stream stays open while new ones are served")
{
    fixture test;
    stand_ins::engine_faults stalls;
    stalls.stall_after_tokens = 3;
    test.engine.set_faults(stalls);
    auto const stalled = test.send(prompt, 5);
    REQUIRE(test.loop.run_until([&] {
        return test.engine.counters().stalled == 1;
    }));
    test.engine.set_faults({});
    auto const next = test.send(prompt, 5);
    REQUIRE(test.run_until_ended(*next));
    CHECK(next->status() == 200);
    CHECK(!stalled->has_ended());
    CHECK(test.engine.running() == 1);
}

// A host that was paused resumes and sends an outdated order. An engine that
// checks fencing numbers refuses it; one that does not check executes it.
TEST_CASE("an old fencing number is refused only by engines that check it")
{
    for (bool const checks : {true, false}) {
        stand_ins::engine_settings settings;
        settings.checks_fencing = checks;
        fixture test(settings);
        int status = 0;
        for (int const fencing : {7, 6}) {
            http_call const order(
                test.loop,
                test.engine.address(),
                EVHTTP_REQ_POST,
                "/v1/orders",
                fmt::format(R"({{"fencing":{},"model":"m","action":"load"}})",
                            fencing));
            REQUIRE(test.run_until_ended(order));
            status = order.status();
        }
        CHECK(status == (checks ? 409 : 200));
        CHECK(test.engine.counters().orders_refused == (checks ? 1 : 0));
    }
}
