#include "bench/relay_bench/measure.hpp"

#include "bench/relay_bench/bench_site.hpp"
#include "bench/relay_bench/crowd.hpp"
#include "stand_ins/site_lists.hpp"

#include <algorithm>
#include <chrono>

namespace caperjunction::relay_bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

crowd_result run(model::endpoint const& to, crowd_plan plan, figures& all)
{
    runtime::event_loop loop;
    plan.to = to;
    plan.key = stand_ins::site_key;
    crowd_result result = run_crowd(loop, plan);
    all.lost += result.lost;
    all.duplicated += result.duplicated;
    all.failed += result.failed;
    return result;
}

// 200 streams at reading speed, straight to the engine and by the router,
// in turn, so that what else the machine does falls on both alike.
void measure_first_token(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.tokens_per_second = 25.0;
    bench_site const site(folder, speed);
    crowd_plan plan;
    plan.streams = 200;
    plan.total = 600;
    plan.tokens = 25;
    plan.stagger = std::chrono::microseconds(5'000);
    std::vector<double> direct;
    std::vector<double> routed;
    for (int round = 0; round < 2; ++round) {
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

// As fast as the router goes: several engines without any pace of theirs.
void measure_throughput(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.first_token_ms = 1;

    speed.engines = 3;
    bench_site const site(folder, speed);
    crowd_plan plan;
    plan.streams = 32;
    plan.total = 400;
    plan.tokens = 2'000;
    milliseconds const before = site.router_process().processor_time();
    crowd_result const result = run(site.router(), plan, all);
    milliseconds const used = site.router_process().processor_time() - before;
    all.events_per_s_per_core =
        static_cast<double>(result.events) * 1000.0
        / static_cast<double>(std::max<std::int64_t>(1, used.count()));
}

// One host's share of the peak: 9,000 tokens a second, one event each.
void measure_share(std::string const& folder, figures& all)
{
    engine_speed speed;
    speed.tokens_per_second = 25.0;
    speed.engines = 2;
    bench_site const site(folder, speed);
    crowd_plan plan;
    plan.streams = 360;
    plan.total = 480;
    plan.tokens = 225;
    plan.stagger = std::chrono::microseconds(5'000);
    milliseconds const before = site.router_process().processor_time();
    auto const started = steady_clock::now();
    crowd_result const result = run(site.router(), plan, all);
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
    // So many that admission holds nobody back.
    speed.engines = 16;
    bench_site const site(folder, speed);
    crowd_plan plan;
    plan.streams = 2'000;
    plan.total = 2'000;
    plan.tokens = 20;
    std::uint64_t most = 0;
    runtime::event_loop loop;
    loop.every(milliseconds(100), [&] {
        most = std::max(most, site.router_process().resident_bytes());
    });
    plan.to = site.router();
    plan.key = stand_ins::site_key;
    crowd_result const result = run_crowd(loop, plan);
    all.lost += result.lost;
    all.duplicated += result.duplicated;
    all.failed += result.failed;
    constexpr double bytes_per_mb = 1'048'576.0;
    all.rss_mb_at_2000_streams = static_cast<double>(most) / bytes_per_mb;
}

} // namespace

figures measure(std::string const& folder)
{
    figures all;
    measure_first_token(folder, all);
    measure_throughput(folder, all);
    measure_share(folder, all);
    measure_memory(folder, all);
    return all;
}

} // namespace caperjunction::relay_bench
