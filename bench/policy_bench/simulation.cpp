#include "bench/policy_bench/simulation.hpp"

#include "bench/policy_bench/callers.hpp"
#include "bench/policy_bench/fleet.hpp"
#include "bench/policy_bench/score.hpp"
#include "bench/policy_bench/telemetry.hpp"
#include "bench/policy_bench/trace.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {
namespace {

// Maximum time after the end of new requests until all are answered; the
// longest answers take minutes.
constexpr std::chrono::seconds max_drain_time{900};
// Additional delay of load reports while one engine is slow.
constexpr std::chrono::milliseconds slow_lag{2'000};
constexpr std::uint32_t max_engines_lost = 2;

void plan_faults(scenario const& scenario,
                 std::uint64_t seed,
                 event_queue& queue,
                 fleet& hosts,
                 telemetry& reports)
{
    model::time_point const from = model::time_point{} + scenario.from;
    model::time_point const until = model::time_point{} + scenario.until;
    if (scenario.slowdown > 1.0) {
        std::size_t const slow = seed % hosts.upstreams().engine_count();
        queue.at(from, [&, slow] {
            hosts.upstreams().engine(slow).slow_down(scenario.slowdown);
            reports.lag_more(slow_lag);
        });
        queue.at(until, [&, slow] {
            hosts.upstreams().engine(slow).slow_down(1.0);
            reports.lag_more({});
        });
    }
    if (scenario.cut) {
        queue.at(from, [&hosts] {
            hosts.cut(true);
        });
        queue.at(until, [&hosts] {
            hosts.cut(false);
        });
    }
}

void run_to_end(scenario const& scenario,
                event_queue& queue,
                callers const& from)
{
    model::time_point now = model::time_point{} + scenario.length;
    queue.run_until(now);
    model::time_point const last = now + max_drain_time;
    while (!from.all_done() && now < last) {
        now += std::chrono::seconds{1};
        queue.run_until(now);
    }
}

void check_answers(callers const& from, violation_list& violations)
{
    for (caller const& sender : from.all()) {
        if (!sender.done) {
            violations.record("no_final_answer",
                              fmt::format("caller of load {}, {} sends",
                                          sender.plan->load,
                                          sender.sends));
        }
    }
}

// A region that serves less than this share of its requests while the link is
// cut counts as stopped; it has enough engines for its own callers.
constexpr double min_served_share = 0.5;

void check_regions(run_result const& result, violation_list& violations)
{
    for (region_result const& one : result.regions) {
        if (one.served < min_served_share * one.offered) {
            violations.record(
                "region_stopped",
                fmt::format("{}: {} of {}", one.name, one.served, one.offered));
        }
    }
}

} // namespace

run_result simulate(deployment const& deployment,
                    scenario const& scenario,
                    policy_maker const& make,
                    std::uint64_t seed)
{
    event_queue queue;
    network net(deployment.delays, queue);
    violation_list violations;
    auditor watch(deployment, violations);
    fleet hosts(deployment, seed, make, queue, net, watch, violations);
    auto const trace = generate_trace(deployment, scenario, seed);
    callers from(deployment, scenario, trace, queue, hosts);
    telemetry reports(deployment,
                      seed,
                      queue,
                      net,
                      hosts.upstreams(),
                      [&hosts](std::size_t host, decide::event const& event) {
                          hosts.handle_event(host, event);
                      });
    hosts.start(
        [&from](send const& request, model::milliseconds retry) {
            from.answered(request, retry);
        },
        model::time_point{} + scenario.settled(),
        model::time_point{} + scenario.length,
        scenario.digest_period);
    reports.start();
    from.start();
    plan_faults(scenario, seed, queue, hosts, reports);
    run_to_end(scenario, queue, from);
    hosts.stop();
    reports.stop();
    watch.finish();
    check_answers(from, violations);
    run_result result;
    result.seed = seed;
    score(deployment, scenario, seed, from, hosts).fill(result);
    result.cross_region_bytes = net.cross_region_bytes();
    for (std::size_t one = 0; one < hosts.upstreams().engine_count(); ++one) {
        result.engines_lost += hosts.upstreams().engine(one).crashes();
    }
    if (result.engines_lost > max_engines_lost) {
        violations.record("engines_lost_to_one_request",
                          fmt::format("{} engines", result.engines_lost));
    }
    if (scenario.cut) {
        check_regions(result, violations);
    }
    result.violations = violations.all();
    return result;
}

} // namespace caperjunction::bench
