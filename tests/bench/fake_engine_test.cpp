#include "bench/policy_bench/fake_engine.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace caperjunction;

namespace {

/// An engine with everything that it says written down.
struct listener
{
    bench::event_queue queue;
    std::map<std::uint64_t, std::uint32_t> tokens;
    std::map<std::uint64_t, bench::job_result> results;
    std::map<std::uint64_t, model::time_point> first;
    bool crashed = false;
    bench::fake_engine engine;

    explicit listener(bench::engine_numbers numbers = {})
        : engine(numbers,
                 queue,
                 {[this](std::uint64_t attempt, std::uint32_t count) {
                      first.emplace(attempt, queue.now());
                      tokens[attempt] += count;
                  },
                  [this](bench::job_result const& result) {
                      results[result.attempt] = result;
                  },
                  [this] {
                      crashed = true;
                  }})
    {
    }

    void run(std::chrono::milliseconds length)
    {
        queue.run_until(queue.now() + length);
    }
};

bench::engine_job
make_job(std::uint64_t attempt, std::uint32_t prompt, std::uint32_t output)
{
    bench::engine_job job;
    job.attempt = attempt;
    job.prompt_tokens = prompt;
    job.output_tokens = output;
    return job;
}

std::uint32_t output_in_ten_seconds(std::uint32_t sequences)
{
    listener heard;
    for (std::uint64_t one = 1; one <= sequences; ++one) {
        heard.engine.submit(make_job(one, 16, 100'000));
    }
    heard.run(std::chrono::seconds{10});
    return heard.tokens[1];
}

} // namespace

TEST_CASE("each sequence decodes slower in a larger batch, all together faster")
{
    std::uint32_t const alone = output_in_ten_seconds(1);
    std::uint32_t const beside_fifteen = output_in_ten_seconds(16);
    std::uint32_t const beside_thirty = output_in_ten_seconds(31);
    CHECK(alone > beside_fifteen);
    CHECK(beside_fifteen > beside_thirty);
    CHECK(16 * beside_fifteen > alone);
    CHECK(31 * beside_thirty > 16 * beside_fifteen);
}

TEST_CASE("a long prompt delays the first token by its length")
{
    listener heard;
    heard.engine.submit(make_job(1, 100, 10));
    heard.run(std::chrono::seconds{5});
    model::time_point const begun = heard.queue.now();
    heard.engine.submit(make_job(2, 10'000, 10));
    heard.run(std::chrono::seconds{5});
    CHECK(heard.first[1] - model::time_point{} < std::chrono::milliseconds{30});
    CHECK(heard.first[2] - begun > std::chrono::milliseconds{800});
}

TEST_CASE("a higher priority leaves the engine's queue first")
{
    bench::engine_numbers numbers;
    numbers.slots = 1;
    listener heard(numbers);
    heard.engine.submit(make_job(1, 100, 50));
    bench::engine_job low = make_job(2, 100, 50);
    low.priority = 2;
    heard.engine.submit(low);
    heard.engine.submit(make_job(3, 100, 50));
    heard.run(std::chrono::seconds{30});
    CHECK(heard.first[1] < heard.first[3]);
    CHECK(heard.first[3] < heard.first[2]);
}

TEST_CASE("a cancelled request frees its slot and memory at once")
{
    listener heard;
    heard.engine.submit(make_job(1, 4'000, 4'000));
    heard.run(std::chrono::seconds{2});
    CHECK(heard.engine.kv_used() > 4'000);
    heard.engine.cancel(1);
    CHECK(heard.engine.running() == 0);
    CHECK(heard.engine.kv_used() == 0);
    CHECK(heard.results[1].end == decide::attempt_end::cancelled);
    CHECK(heard.results[1].computed_prompt == 4'000);
}

TEST_CASE("a resumed answer goes on after what the caller has")
{
    listener heard;
    bench::engine_job job = make_job(1, 100, 300);
    job.resume_offset = 260;
    heard.engine.submit(job);
    heard.run(std::chrono::seconds{10});
    CHECK(heard.tokens[1] == 40);
    CHECK(heard.results[1].computed_prompt == 360);
}

TEST_CASE("a prefix that the cache holds is not computed again")
{
    listener heard;
    bench::engine_job job = make_job(1, 1'000, 10);
    job.prefix_blocks = {11, 12, 13, 14};
    heard.engine.submit(job);
    heard.run(std::chrono::seconds{5});
    job.attempt = 2;
    heard.engine.submit(job);
    heard.run(std::chrono::seconds{5});
    CHECK(heard.results[1].cached_tokens == 0);
    CHECK(heard.results[2].cached_tokens == 512);
    CHECK(heard.results[2].computed_prompt == 488);
}

// A request brings the engine's process down; everything that ran beside it
// breaks, and callers see their streams end in the middle.
TEST_CASE("a crash breaks everything in flight and loses the cache")
{
    listener heard;
    bench::engine_job neighbour = make_job(1, 100, 5'000);
    neighbour.prefix_blocks = {11};
    heard.engine.submit(neighbour);
    heard.run(std::chrono::seconds{1});
    CHECK(heard.engine.cache().size() == 1);
    bench::engine_job killer = make_job(2, 100, 100);
    killer.crashes_engine = true;
    heard.engine.submit(killer);
    heard.run(std::chrono::seconds{1});
    CHECK(heard.crashed);
    CHECK_FALSE(heard.engine.up());
    CHECK(heard.results[1].end == decide::attempt_end::broken);
    CHECK(heard.results[2].end == decide::attempt_end::broken);
    CHECK(heard.engine.cache().size() == 0);
    heard.run(std::chrono::seconds{15});
    CHECK(heard.engine.up());
}

TEST_CASE("whatever is asked of it, an engine stays within its bounds")
{
    CHECK(rc::check("slots, memory and cache are bounded; all is answered", [] {
        bench::engine_numbers numbers;
        numbers.slots = 8;
        numbers.kv_tokens = 6'000;
        numbers.cache_tokens = 2'000;
        listener heard(numbers);
        auto const count = *rc::gen::inRange<std::uint64_t>(1, 60);
        for (std::uint64_t one = 1; one <= count; ++one) {
            bench::engine_job job =
                make_job(one,
                         *rc::gen::inRange<std::uint32_t>(1, 3'000),
                         *rc::gen::inRange<std::uint32_t>(1, 400));
            job.priority = *rc::gen::inRange<std::uint32_t>(0, 3);
            job.prefix_blocks = {one % 5, one};
            heard.engine.submit(job);
            heard.run(std::chrono::milliseconds{20});
            RC_ASSERT(heard.engine.running() <= numbers.slots);
            RC_ASSERT(heard.engine.kv_used() <= numbers.kv_tokens);
            RC_ASSERT(heard.engine.cache().size() * numbers.block_tokens
                      <= numbers.cache_tokens);
        }
        heard.run(std::chrono::minutes{10});
        RC_ASSERT(heard.results.size() == count);
        for (auto const& [attempt, result] : heard.results) {
            RC_ASSERT(result.end == decide::attempt_end::complete);
        }
    }));
}
