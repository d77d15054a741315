#include "bench/relay_bench/measure.hpp"

#include "bench/relay_bench/bench_site.hpp"
#include "bench/relay_bench/stream_load.hpp"
#include "stand_ins/site_lists.hpp"

#include <algorithm>
#include <chrono>

namespace caperjunction::relay_bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

load_result run(model::endpoint const& to, load_plan plan, figures& all)
{
    runtime::event_loop loop;
    plan.to = to;
    plan.key = stand_ins::site_key;
    load_result result = run_load(loop, plan);
    all.lost += result.lost;
    all.duplicated += result.duplicated;
    all.failed += result.failed;
    return result;
}

// Runs 200 streams at reading speed, alternately directly to the engine and
// through the router, so that other load on the machine affects both equally.
void measure_first_token(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.tokens_per_second = 25.0;
    bench_site const site(folder, speed);
    load_plan plan;
    plan.streams = 200;
    plan.total = 600;
    plan.tokens = 25;
    plan.stagger = std::chrono::microseconds(5'000);
    std::vector<double> direct;
    std::vector<double> routed;
    for (int repetition = 0; repetition < 2; ++repetition) {
        auto const first = run(site.engine(), plan, all).first_byte_ms;
        auto const second = run(site.router(), plan, all).first_byte_ms;
        direct.insert(direct.end(), first.begin(), first.end());
        routed.insert(routed.end(), second.begin(), second.end());
    }
    all.added_first_token_p50_ms =
        quantile(routed, 0.5) - quantile(direct, 0.5);
    all.added_first_token_p99_ms =
        quantile(routed, 0.99) - quantile(direct, 0.99);
}

// Measures the maximum rate of the router: several engines without a rate
// limit.
void measure_throughput(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.first_token_ms = 1;

    speed.engines = 3;
    bench_site const site(folder, speed);
    load_plan plan;
    plan.streams = 32;
    plan.total = 400;
    plan.tokens = 2'000;
    milliseconds const before = site.router_process().processor_time();
    load_result const result = run(site.router(), plan, all);
    milliseconds const used = site.router_process().processor_time() - before;
    all.events_per_s_per_core =
        static_cast<double>(result.events) * 1000.0
        / static_cast<double>(std::max<std::int64_t>(1, used.count()));
}

// Measures one host's share of the peak load: 9,000 tokens per second, one
// event each.
void measure_cpu_share(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.tokens_per_second = 25.0;
    speed.engines = 2;
    bench_site const site(folder, speed);
    load_plan plan;
    plan.streams = 360;
    plan.total = 480;
    plan.tokens = 225;
    plan.stagger = std::chrono::microseconds(5'000);
    milliseconds const before = site.router_process().processor_time();
    auto const started = steady_clock::now();
    load_result const result = run(site.router(), plan, all);
    std::chrono::duration<double> const wall = steady_clock::now() - started;
    milliseconds const used = site.router_process().processor_time() - before;
    double const rate = static_cast<double>(result.events) / wall.count();
    double const share =
        static_cast<double>(used.count()) / 1000.0 / wall.count();
    all.cpu_share_at_9000_events = share * 9'000.0 / rate;
}

void measure_memory(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.tokens_per_second = 5.0;
    // Enough engines that admission delays no request.
    speed.engines = 16;
    bench_site const site(folder, speed);
    load_plan plan;
    plan.streams = 2'000;
    plan.total = 2'000;
    plan.tokens = 20;
    std::uint64_t max_resident_bytes = 0;
    runtime::event_loop loop;
    loop.every(milliseconds(100), [&] {
        max_resident_bytes = std::max(max_resident_bytes,
                                      site.router_process().resident_bytes());
    });
    plan.to = site.router();
    plan.key = stand_ins::site_key;
    load_result const result = run_load(loop, plan);
    all.lost += result.lost;
    all.duplicated += result.duplicated;
    all.failed += result.failed;
    constexpr double bytes_per_mb = 1'048'576.0;
    all.rss_mb_at_2000_streams =
        static_cast<double>(max_resident_bytes) / bytes_per_mb;
}

} // namespace

figures measure(std::string const& folder)
{
    figures all;
    measure_first_token(folder, all);
    measure_throughput(folder, all);
    measure_cpu_share(folder, all);
    measure_memory(folder, all);
    return all;
}

} // namespace caperjunction::relay_bench
