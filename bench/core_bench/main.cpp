#include "bench/core_bench/loaded_router.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <tuple>

// Measures the decision logic alone: what one request costs the router from
// its arrival to its dispatch, its first token and its end, and what a tick
// costs, by the number of engines, teams and queued requests. The slopes feed
// docs/CAPACITY.md.

namespace {

using caperjunction::bench::load_size;
using caperjunction::bench::loaded_router;

// Filling 10,000 engines takes seconds; each world is made once.
loaded_router& world(load_size size)
{
    using key = std::tuple<std::size_t, std::size_t, std::size_t>;
    static std::map<key, std::unique_ptr<loaded_router>> s_worlds;
    auto& made = s_worlds[{size.engines, size.teams, size.queued}];
    if (!made) {
        made = std::make_unique<loaded_router>(size);
    }
    return *made;
}

load_size size_of(benchmark::State const& state)
{
    return {static_cast<std::size_t>(state.range(0)),
            static_cast<std::size_t>(state.range(1)),
            static_cast<std::size_t>(state.range(2))};
}

void count(benchmark::State& state, loaded_router& own, load_size size)
{
    state.counters["dispatches_per_iteration"] =
        benchmark::Counter(static_cast<double>(own.take_dispatches()),
                           benchmark::Counter::kAvgIterations);
    state.counters["bytes_per_engine"] =
        own.engine_bytes() / static_cast<double>(size.engines);
    if (size.queued > 0) {
        state.counters["bytes_per_queued_request"] =
            own.queue_bytes() / static_cast<double>(size.queued);
    }
}

/// A request ends, another comes: one is dispatched in each iteration.
void one_decision(benchmark::State& state)
{
    load_size const size = size_of(state);
    loaded_router& own = world(size);
    own.take_dispatches();
    for ([[maybe_unused]] auto const& step : state) {
        own.end_one();
        own.arrive();
    }
    count(state, own, size);
}

void one_tick(benchmark::State& state)
{
    load_size const size = size_of(state);
    loaded_router& own = world(size);
    own.take_dispatches();
    for ([[maybe_unused]] auto const& step : state) {
        own.tick();
    }
    count(state, own, size);
}

void add_sizes(benchmark::internal::Benchmark* bench)
{
    bench->ArgNames({"engines", "teams", "queued"});
    for (int const engines : {12, 100, 1'000, 10'000}) {
        for (int const teams : {10, 530}) {
            bench->Args({engines, teams, 0});
        }
    }
    for (int const queued : {100, 1'000, 10'000, 100'000}) {
        bench->Args({12, 10, queued});
        bench->Args({10'000, 530, queued});
    }
}

} // namespace

BENCHMARK(one_decision)->Apply(add_sizes);
BENCHMARK(one_tick)->Apply(add_sizes);

BENCHMARK_MAIN();
