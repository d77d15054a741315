#ifndef CAPERJUNCTION_DECIDE_MODEL_GROUP_HPP
#define CAPERJUNCTION_DECIDE_MODEL_GROUP_HPP

#include "decide/engine_set.hpp"
#include "decide/fair_queue.hpp"
#include "decide/memory_forecast.hpp"
#include "decide/overload_gate.hpp"
#include "decide/prefill_rate.hpp"
#include "decide/wait_estimator.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// The tiers for which an engine has capacity.
enum class engine_capacity : std::uint8_t
{
    none,
    /// The highest tier only: the rest of the limit is reserved for it.
    highest_tier,
    any_tier,
};

/// Engines of one region with capacity for one model.
struct region_capacity
{
    engine_set any_tier;
    /// Engines of `any_tier` that are assigned to this host.
    engine_set owned;
    engine_set highest_tier;
};

/// One model with its engines and waiting requests.
struct model_group
{
    explicit model_group(std::vector<double> const& shares)
    {
        queue.set_shares(shares);
    }

    region_capacity& capacity(bool is_own_region)
    {
        return is_own_region ? own_region : other_regions;
    }

    fair_queue queue;
    region_capacity own_region;
    region_capacity other_regions;
    /// Engines that serve the model, whatever their health.
    std::vector<index> engines;
    wait_estimator waits;
    prefill_rate prefill_estimate;
    memory_forecast kv_forecast;
    /// Indexed by tier.
    std::vector<overload_gate> gates;
    /// Requests queued and refused on other hosts, indexed by tier.
    std::vector<std::uint32_t> peer_queued;
    std::vector<std::uint32_t> peer_refused;
    /// This host's refusals under overload, indexed by tier.
    std::vector<decaying_rate> refusals;
};

} // namespace caperjunction::decide

#endif
