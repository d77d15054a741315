#include "site.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace caperjunction;
using namespace std::chrono_literals;
using counters = stand_ins::engine_counters;
using nlohmann::json;

namespace {

// Placement samples; so many calls leave no engine out.
constexpr int calls_for_both_engines = 12;

void crash_once(tests::site& site)
{
    stand_ins::engine_faults faults;
    faults.crash_after_tokens = 7;
    site.engines.front()->set_faults(faults);
}

bool is_complete(std::string const& events)
{
    return events.find("data: [DONE]") != std::string::npos;
}

std::string content_of(std::string const& body)
{
    return json::parse(body)["choices"][0]["message"]["content"];
}

} // namespace

TEST_CASE("a stream reaches its caller whole and in order")
{
    tests::site site;
    auto const answer = site.chat("hello", 20, true);
    REQUIRE(site.wait(answer));
    CHECK(answer->status == 200);
    std::string const tokens = tests::tokens_of(answer->body);
    CHECK(tokens == tests::expected_tokens(tokens, 20));
    CHECK(is_complete(answer->body));
    CHECK(answer->body.find("caperjunction-outcome=ran") != std::string::npos);
}

TEST_CASE("a caller without streaming gets one JSON answer")
{
    tests::site site;
    auto const answer = site.chat("hello", 20, false);
    REQUIRE(site.wait(answer));
    CHECK(answer->status == 200);
    std::string const tokens = content_of(answer->body);
    CHECK(tokens == tests::expected_tokens(tokens, 20));
    CHECK(json::parse(answer->body)["usage"]["completion_tokens"] == 20);
}

// An engine dies while it answers. Without resuming, the caller would see a
// schedule that stops in mid-sentence, or get its beginning twice. One engine
// alone crashes: a request that crashes a second one is refused for good.
TEST_CASE("a stream goes on at another engine when its own crashes")
{
    tests::site site;
    crash_once(site);
    for (int call = 0; call < calls_for_both_engines; ++call) {
        auto const answer = site.chat("hello", 20, true);
        REQUIRE(site.wait(answer));
        std::string const tokens = tests::tokens_of(answer->body);
        CHECK(tokens == tests::expected_tokens(tokens, 20));
        CHECK(is_complete(answer->body));
    }
    CHECK(site.total(&counters::crashes) == 1);
    CHECK(site.total(&counters::resumed) == 1);
}

// The same for a caller that waits for one whole answer: it must not notice.
TEST_CASE("a whole answer is put together over a crash")
{
    tests::site site;
    crash_once(site);
    for (int call = 0; call < calls_for_both_engines; ++call) {
        auto const answer = site.chat("hello", 20, false);
        REQUIRE(site.wait(answer));
        CHECK(answer->status == 200);
        std::string const tokens = content_of(answer->body);
        CHECK(tokens == tests::expected_tokens(tokens, 20));
    }
    CHECK(site.total(&counters::crashes) == 1);
}

// Something between host and engine forgets an open connection; it stays
// open and nothing comes any more. The caller would wait for ever.
TEST_CASE("a stream that goes silent is resumed over a new connection")
{
    tests::site_options options;
    options.timeouts.progress = 300ms;
    tests::site site(options);
    auto const answer = site.chat("hello", 100, true);
    REQUIRE(site.run_until([&] {
        return tests::tokens_of(answer->body).size() > 20;
    }));
    for (auto const& engine : site.engines) {
        engine->stall_running();
    }
    REQUIRE(site.wait(answer));
    std::string const tokens = tests::tokens_of(answer->body);
    CHECK(tokens == tests::expected_tokens(tokens, 100));
    CHECK(is_complete(answer->body));
}

// A caller gives up while its request still waits for its first token. The
// engine would go on computing for nobody, in a slot that others wait for.
TEST_CASE("hanging up before the answer begins cancels at the engine")
{
    tests::site_options options;
    options.tokens_per_second = 1.0;
    tests::site site(options);
    auto const answer = site.chat("hello", 50, false);
    REQUIRE(site.run_until([&] {
        return site.total(&counters::begun) == 1;
    }));
    site.hang_up();
    CHECK(site.run_until([&] {
        return site.total(&counters::cancelled) == 1;
    }));
    CHECK(site.relay->running() == 0);
}

// The same in mid-answer: the rest of a long draft must not be computed.
TEST_CASE("hanging up during the answer cancels at the engine")
{
    tests::site_options options;
    options.tokens_per_second = 50.0;
    tests::site site(options);
    auto const answer = site.chat("hello", 1000, true);
    REQUIRE(site.run_until([&] {
        return !answer->body.empty();
    }));
    site.hang_up();
    CHECK(site.run_until([&] {
        return site.total(&counters::cancelled) == 1;
    }));
    CHECK(site.relay->running() == 0);
}

// All engines are gone for good. The caller must be told so, and that its
// request did not run: no byte of it ever reached an engine.
TEST_CASE("a request that reached no engine is told not to have run")
{
    tests::site site;
    site.engines.clear();
    auto const answer = site.chat("hello", 5, false);
    REQUIRE(site.wait(answer));
    CHECK(answer->status >= 500);
    json const body = json::parse(answer->body);
    CHECK(body["error"]["outcome"] == "not-run");
    CHECK_FALSE(body["error"]["remedy"].get<std::string>().empty());
}

// All engines break off each answer. A short answer must never pass for a
// whole one: it ends with an error and without the closing event.
TEST_CASE("an answer that can't be finished is not passed off as whole")
{
    tests::site_options options;
    options.engines = 1;
    options.timeouts.progress = 200ms;
    tests::site site(options);
    stand_ins::engine_faults faults;
    faults.stall_after_tokens = 3;
    site.engines[0]->set_faults(faults);
    auto const answer = site.chat("hello", 50, true);
    REQUIRE(site.wait(answer));
    CHECK_FALSE(is_complete(answer->body));
    CHECK(answer->body.find("\"error\"") != std::string::npos);
}
