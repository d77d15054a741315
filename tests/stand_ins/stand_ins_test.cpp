#include "stand_ins/cache_event_log.hpp"
#include "stand_ins/load_history.hpp"
#include "stand_ins/prefix_cache.hpp"
#include "stand_ins/token_text.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::steady_clock::time_point start{};

} // namespace

TEST_CASE("an answer depends only on the prompt")
{
    CHECK(stand_ins::answer_text("a", 3) == stand_ins::answer_text("a", 3));
    CHECK(stand_ins::answer_text("a", 3) != stand_ins::answer_text("b", 3));
}

TEST_CASE("a load report lags behind the load")
{
    stand_ins::load_history history(milliseconds(100));
    history.record({1, 0, 0.0, start + milliseconds(1000)});
    history.record({2, 0, 0.0, start + milliseconds(1050)});
    CHECK(history.read(start + milliseconds(1050)).running == 0);
    CHECK(history.read(start + milliseconds(1100)).running == 1);
    CHECK(history.read(start + milliseconds(1200)).running == 2);
}

TEST_CASE("cache events are delayed and some are lost")
{
    stand_ins::cache_event_log log(milliseconds(100), 3);
    for (std::uint64_t block = 1; block <= 4; ++block) {
        log.add(block, true, start);
    }
    CHECK(log.read(0, start + milliseconds(99)) == R"({"events":[]})");
    std::string const events = log.read(1, start + milliseconds(100));
    CHECK(events.find(R"("seq":1,)") == std::string::npos);
    CHECK(events.find(R"("seq":2,)") != std::string::npos);
    CHECK(events.find(R"("seq":3,)") == std::string::npos);
    CHECK(events.find(R"("seq":4,)") != std::string::npos);
}

TEST_CASE("a prompt is cached until other prompts evict it")
{
    stand_ins::prefix_cache cache(2, [](std::uint64_t, bool) {});
    std::string const first(128, 'a');
    std::string const other(128, 'b');
    CHECK(cache.use("m", first) == doctest::Approx(0.0));
    CHECK(cache.use("m", first) == doctest::Approx(1.0));
    CHECK(cache.use("other model", first) == doctest::Approx(0.0));
    CHECK(cache.use("m", other) == doctest::Approx(0.0));
    CHECK(cache.use("m", first) == doctest::Approx(0.0));
}
