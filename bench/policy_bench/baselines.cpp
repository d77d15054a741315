#include "bench/policy_bench/baselines.hpp"

#include "bench/policy_bench/direct_policy.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace caperjunction::bench {
namespace {

std::uint32_t no_rank(lists::catalogue const& /*catalogue*/,
                      decide::request const& /*request*/)
{
    return 0;
}

std::uint32_t tier_rank(lists::catalogue const& catalogue,
                        decide::request const& request)
{
    auto const* const found = catalogue.find_class(request.service_class);
    return catalogue.find_tier(found->tier)->rank;
}

std::string const&
least_outstanding(std::vector<std::string> const& upstreams,
                  direct_policy::outstanding_map const& outstanding)
{
    auto const load = [&](std::string const& name) {
        auto const found = outstanding.find(name);
        return found == outstanding.end() ? 0U : found->second;
    };
    return *std::min_element(upstreams.begin(),
                             upstreams.end(),
                             [&](auto const& left, auto const& right) {
                                 return load(left) < load(right);
                             });
}

policy wrap(direct_policy::chooser choose, direct_policy::ranker rank)
{
    auto const made =
        std::make_shared<direct_policy>(std::move(choose), std::move(rank));
    return {[made](decide::event const& event,
                   model::time_point /*now*/,
                   std::vector<decide::decision>& out) {
                made->handle(event, out);
            },
            [](model::time_point /*now*/) {
                return std::vector<std::uint8_t>{};
            }};
}

} // namespace

policy make_round_robin(decide::router_settings const& settings)
{
    // Hosts start at different upstreams; otherwise all would use the same one.
    auto const next = std::make_shared<std::size_t>(settings.seed);
    return wrap(
        [next](std::vector<std::string> const& upstreams,
               direct_policy::outstanding_map const&) -> std::string const& {
            return upstreams[(*next)++ % upstreams.size()];
        },
        no_rank);
}

policy make_least_outstanding(decide::router_settings const& /*settings*/)
{
    return wrap(least_outstanding, no_rank);
}

policy make_strict_priority(decide::router_settings const& /*settings*/)
{
    return wrap(least_outstanding, tier_rank);
}

} // namespace caperjunction::bench
