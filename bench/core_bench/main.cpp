#include "bench/core_bench/loaded_router.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <tuple>

// Measures the decision logic alone: the cost of one request from its arrival
// to its dispatch, first token and end, and the cost of a tick, by the number
// of engines, teams and queued requests. docs/CAPACITY.md uses the slopes.

namespace {

using caperjunction::bench::load_size;
using caperjunction::bench::loaded_router;

// Filling 10,000 engines takes seconds, so each router is created only once.
loaded_router& cached_router(load_size size)
{
    using key = std::tuple<std::size_t, std::size_t, std::size_t>;
    static std::map<key, std::unique_ptr<loaded_router>> s_routers;
    auto& router = s_routers[{size.engines, size.teams, size.queued}];
    if (!router) {
        router = std::make_unique<loaded_router>(size);
    }
    return *router;
}

load_size size_of(benchmark::State const& state)
{
    return {static_cast<std::size_t>(state.range(0)),
            static_cast<std::size_t>(state.range(1)),
            static_cast<std::size_t>(state.range(2))};
}

void count(benchmark::State& state, loaded_router& router, load_size size)
{
    state.counters["dispatches_per_iteration"] =
        benchmark::Counter(static_cast<double>(router.take_dispatches()),
                           benchmark::Counter::kAvgIterations);
    state.counters["bytes_per_engine"] =
        router.engine_bytes() / static_cast<double>(size.engines);
    if (size.queued > 0) {
        state.counters["bytes_per_queued_request"] =
            router.queue_bytes() / static_cast<double>(size.queued);
    }
}

/// One request ends and another arrives: one dispatch per iteration.
void one_decision(benchmark::State& state)
{
    load_size const size = size_of(state);
    loaded_router& router = cached_router(size);
    router.take_dispatches();
    for ([[maybe_unused]] auto const& step : state) {
        router.complete_request();
        router.add_request();
    }
    count(state, router, size);
}

void one_tick(benchmark::State& state)
{
    load_size const size = size_of(state);
    loaded_router& router = cached_router(size);
    router.take_dispatches();
    for ([[maybe_unused]] auto const& step : state) {
        router.tick();
    }
    count(state, router, size);
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
