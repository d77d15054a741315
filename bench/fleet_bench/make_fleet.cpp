#include "bench/fleet_bench/bench_lists.hpp"
#include "bench/fleet_bench/fleet_scenarios.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::bench {
namespace {

constexpr std::size_t two_region_hosts = 28;
constexpr std::size_t large_fleet_regions = 6;
constexpr std::chrono::seconds settle_time{10};

} // namespace

std::unique_ptr<virtual_fleet> make_fleet(std::size_t hosts,
                                          virtual_fleet_settings settings,
                                          bench_options const& options)
{
    settings.seed = options.seed;
    settings.agent.configuration.check = check_lists;
    auto result = std::make_unique<virtual_fleet>(std::move(settings));
    std::size_t const regions =
        hosts <= two_region_hosts ? 2 : large_fleet_regions;
    for (std::size_t index = 0; index < hosts; ++index) {
        result->add_host(fmt::format("host-{:03}", index),
                         fmt::format("region-{}", index % regions));
    }
    result->publish_hosts();
    bench_lists const lists(options.teams, options.seed);
    result->publish(fleet::published_value::plans, lists.plans());
    result->publish(fleet::published_value::entitlements,
                    bench_lists::entitlements());
    result->publish(fleet::published_value::upstreams, "{}");
    result->start_all();
    result->run_for(settle_time);
    return result;
}

} // namespace caperjunction::bench
