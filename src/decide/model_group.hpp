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

/// How much room an engine has.
enum class engine_capacity : std::uint8_t
{
    none,
    /// Only for the highest tier: the last of the bound is kept for it.
    highest_tier,
    any_tier,
};

/// Engines of one region that have room, for one model.
struct region_capacity
{
    engine_set any_tier;
    /// Those of `any_tier` that fall to this host.
    engine_set owned;
    engine_set highest_tier;
};

/// One model: its engines and what waits for them.
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
    /// Engines that serve it, whatever their health.
    std::vector<index> engines;
    wait_estimator waits;
    prefill_rate prefill_estimate;
    memory_forecast kv_forecast;
    /// By tier.
    std::vector<overload_gate> gates;
    /// What other hosts hold in queue and refuse, by tier.
    std::vector<std::uint32_t> peer_queued;
    std::vector<std::uint32_t> peer_refused;
    /// This host's refusals under overload, by tier.
    std::vector<decaying_rate> refusals;
};

} // namespace caperjunction::decide

#endif
