#include "bench/policy_bench/fake_engine.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace caperjunction;

namespace {

/// An engine whose callbacks are recorded.
struct engine_recorder
{
    bench::event_queue queue;
    std::map<std::uint64_t, std::uint32_t> tokens;
    std::map<std::uint64_t, bench::job_result> results;
    std::map<std::uint64_t, model::time_point> first;
    bool crashed = false;
    bench::fake_engine engine;

    explicit engine_recorder(bench::engine_parameters parameters = {})
        : engine(parameters,
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
    engine_recorder recorder;
    for (std::uint64_t one = 1; one <= sequences; ++one) {
        recorder.engine.submit(make_job(one, 16, 100'000));
    }
    recorder.run(std::chrono::seconds{10});
    return recorder.tokens[1];
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

TEST_CASE("a long prompt delays the first token")
{
    engine_recorder recorder;
    recorder.engine.submit(make_job(1, 100, 10));
    recorder.run(std::chrono::seconds{5});
    model::time_point const begun = recorder.queue.now();
    recorder.engine.submit(make_job(2, 10'000, 10));
    recorder.run(std::chrono::seconds{5});
    CHECK(recorder.first[1] - model::time_point{}
          < std::chrono::milliseconds{30});
    CHECK(recorder.first[2] - begun > std::chrono::milliseconds{800});
}

TEST_CASE("a higher priority leaves the engine's queue first")
{
    bench::engine_parameters parameters;
    parameters.slots = 1;
    engine_recorder recorder(parameters);
    recorder.engine.submit(make_job(1, 100, 50));
    bench::engine_job low = make_job(2, 100, 50);
    low.priority = 2;
    recorder.engine.submit(low);
    recorder.engine.submit(make_job(3, 100, 50));
    recorder.run(std::chrono::seconds{30});
    CHECK(recorder.first[1] < recorder.first[3]);
    CHECK(recorder.first[3] < recorder.first[2]);
}

TEST_CASE("a cancelled request frees its slot and memory at once")
{
    engine_recorder recorder;
    recorder.engine.submit(make_job(1, 4'000, 4'000));
    recorder.run(std::chrono::seconds{2});
    CHECK(recorder.engine.kv_used() > 4'000);
    recorder.engine.cancel(1);
    CHECK(recorder.engine.running() == 0);
    CHECK(recorder.engine.kv_used() == 0);
    CHECK(recorder.results[1].end == decide::attempt_end::cancelled);
    CHECK(recorder.results[1].computed_prompt == 4'000);
}

TEST_CASE("a resumed answer continues after the tokens that the caller has")
{
    engine_recorder recorder;
    bench::engine_job job = make_job(1, 100, 300);
    job.resume_offset = 260;
    recorder.engine.submit(job);
    recorder.run(std::chrono::seconds{10});
    CHECK(recorder.tokens[1] == 40);
    CHECK(recorder.results[1].computed_prompt == 360);
}

TEST_CASE("a cached prefix is not computed again")
{
    engine_recorder recorder;
    bench::engine_job job = make_job(1, 1'000, 10);
    job.prefix_blocks = {11, 12, 13, 14};
    recorder.engine.submit(job);
    recorder.run(std::chrono::seconds{5});
    job.attempt = 2;
    recorder.engine.submit(job);
    recorder.run(std::chrono::seconds{5});
    CHECK(recorder.results[1].cached_tokens == 0);
    CHECK(recorder.results[2].cached_tokens == 512);
    CHECK(recorder.results[2].computed_prompt == 488);
}

// A request crashes the engine process; all requests running with it break, and
// their callers see streams end in the middle.
TEST_CASE("a crash breaks all running requests and clears the cache")
{
    engine_recorder recorder;
    bench::engine_job neighbour = make_job(1, 100, 5'000);
    neighbour.prefix_blocks = {11};
    recorder.engine.submit(neighbour);
    recorder.run(std::chrono::seconds{1});
    CHECK(recorder.engine.cache().size() == 1);
    bench::engine_job killer = make_job(2, 100, 100);
    killer.crashes_engine = true;
    recorder.engine.submit(killer);
    recorder.run(std::chrono::seconds{1});
    CHECK(recorder.crashed);
    CHECK_FALSE(recorder.engine.up());
    CHECK(recorder.results[1].end == decide::attempt_end::broken);
    CHECK(recorder.results[2].end == decide::attempt_end::broken);
    CHECK(recorder.engine.cache().size() == 0);
    recorder.run(std::chrono::seconds{15});
    CHECK(recorder.engine.up());
}

TEST_CASE("an engine stays within its limits under any load")
{
    CHECK(rc::check("slots, memory and cache are bounded; all is answered", [] {
        bench::engine_parameters parameters;
        parameters.slots = 8;
        parameters.kv_tokens = 6'000;
        parameters.cache_tokens = 2'000;
        engine_recorder recorder(parameters);
        auto const count = *rc::gen::inRange<std::uint64_t>(1, 60);
        for (std::uint64_t one = 1; one <= count; ++one) {
            bench::engine_job job =
                make_job(one,
                         *rc::gen::inRange<std::uint32_t>(1, 3'000),
                         *rc::gen::inRange<std::uint32_t>(1, 400));
            job.priority = *rc::gen::inRange<std::uint32_t>(0, 3);
            job.prefix_blocks = {one % 5, one};
            recorder.engine.submit(job);
            recorder.run(std::chrono::milliseconds{20});
            RC_ASSERT(recorder.engine.running() <= parameters.slots);
            RC_ASSERT(recorder.engine.kv_used() <= parameters.kv_tokens);
            RC_ASSERT(recorder.engine.cache().size() * parameters.block_tokens
                      <= parameters.cache_tokens);
        }
        recorder.run(std::chrono::minutes{10});
        RC_ASSERT(recorder.results.size() == count);
        for (auto const& [attempt, result] : recorder.results) {
            RC_ASSERT(result.end == decide::attempt_end::complete);
        }
    }));
}
