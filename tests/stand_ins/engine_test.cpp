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

/// The texts of all events, joined.
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
        : engine(loop.base(), fast(std::move(settings)))
    {
    }

    static stand_ins::engine_settings fast(stand_ins::engine_settings settings)
    {
        settings.tokens_per_second = 0;
        settings.first_token_delay = std::chrono::milliseconds(0);
        return settings;
    }

    std::unique_ptr<http_call> ask(std::string const& text,
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

    bool finishes(http_call const& call)
    {
        return loop.run_until([&] {
            return call.is_over();
        });
    }

    testing::test_loop loop;
    stand_ins::engine engine;
};

} // namespace

TEST_CASE("an answer that is resumed is the same as one in one piece")
{
    fixture test;
    auto const whole = test.ask(prompt, 40);
    auto const rest =
        test.ask(prompt, 40, {{"caperjunction-resume-offset", "25"}});
    REQUIRE(test.finishes(*whole));
    REQUIRE(test.finishes(*rest));
    CHECK(text_of(whole->body()) == stand_ins::answer_text(prompt, 40));
    CHECK(stand_ins::answer_text(prompt, 25) + text_of(rest->body())
          == text_of(whole->body()));
    CHECK(whole->body().find("data: [DONE]") != std::string::npos);
    CHECK(test.engine.counters().resumed == 1);
    CHECK(test.engine.counters().tokens == 55);
}

// A caller loses patience and closes while its answer is computed. Its slot
// must serve the next one, and of those waiting the most urgent goes first.
TEST_CASE("a client that hangs up frees its slot for the most urgent")
{
    stand_ins::engine_settings settings;
    settings.slots = 1;
    fixture test(settings);
    stand_ins::engine_faults stalls;
    stalls.stall_after_tokens = 2;
    test.engine.set_faults(stalls);
    auto const first = test.ask(prompt, 10);
    REQUIRE(test.loop.run_until([&] {
        return test.engine.counters().stalled == 1;
    }));
    test.engine.set_faults({});
    auto const late = test.ask("low", 3, {{"caperjunction-priority", "5"}});
    auto const soon = test.ask("high", 3, {{"caperjunction-priority", "1"}});
    REQUIRE(test.loop.run_until([&] {
        return test.engine.waiting() == 2;
    }));
    bool late_was_open = false;
    first->hang_up();
    REQUIRE(test.loop.run_until([&] {
        late_was_open = late_was_open || (soon->is_over() && !late->is_over());
        return soon->is_over() && late->is_over();
    }));
    CHECK(late_was_open);
    CHECK(test.engine.counters().cancelled == 1);
    CHECK(test.engine.counters().wasted_tokens == 2);
    CHECK(test.engine.running() == 0);
}

// A prompt crashes whichever engine runs it, and its caller sends it again.
// Everyone else on that engine is cut off in the middle.
TEST_CASE("a killer request cuts off its neighbours, each time")
{
    stand_ins::engine_settings settings;
    settings.restart_delay = std::chrono::milliseconds(1);
    fixture test(settings);
    stand_ins::engine_faults faults;
    faults.crash_on_text = "killer";
    faults.stall_after_tokens = 1;
    for (std::uint64_t round = 1; round <= 2; ++round) {
        test.engine.set_faults(faults);
        auto neighbour = test.ask(prompt, 5);
        // It may come too early, while the engine is still away.
        REQUIRE(test.loop.run_until([&] {
            if (neighbour->is_over()) {
                neighbour = test.ask(prompt, 5);
            }
            return test.engine.running() == 1;
        }));
        auto const killer = test.ask("a killer prompt", 5);
        REQUIRE(test.finishes(*killer));
        REQUIRE(test.finishes(*neighbour));
        CHECK(neighbour->body().find("[DONE]") == std::string::npos);
        CHECK(test.engine.counters().crashes == round);
    }
    CHECK(test.engine.counters().finished == 0);
}

// Something between the two ends has lost the connection: it stays open, but
// nothing comes any more. New connections work.
TEST_CASE("a silenced stream stays open while new ones are served")
{
    fixture test;
    stand_ins::engine_faults stalls;
    stalls.stall_after_tokens = 3;
    test.engine.set_faults(stalls);
    auto const silent = test.ask(prompt, 5);
    REQUIRE(test.loop.run_until([&] {
        return test.engine.counters().stalled == 1;
    }));
    test.engine.set_faults({});
    auto const fresh = test.ask(prompt, 5);
    REQUIRE(test.finishes(*fresh));
    CHECK(fresh->status() == 200);
    CHECK(!silent->is_over());
    CHECK(test.engine.running() == 1);
}

// An orderer that was paused wakes up and sends an order from before. An
// engine that checks refuses it; one that doesn't takes it.
TEST_CASE("an old fencing number is refused only by engines that check")
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
            REQUIRE(test.finishes(order));
            status = order.status();
        }
        CHECK(status == (checks ? 409 : 200));
        CHECK(test.engine.counters().orders_refused == (checks ? 1 : 0));
    }
}
