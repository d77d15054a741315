#ifndef CAPERJUNCTION_DECIDE_MODEL_GROUP_HPP
#define CAPERJUNCTION_DECIDE_MODEL_GROUP_HPP

#include "decide/fair_queue.hpp"
#include "decide/memory_forecast.hpp"
#include "decide/open_list.hpp"
#include "decide/overload_gate.hpp"
#include "decide/prefill_rate.hpp"
#include "decide/wait_estimator.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// How much room an engine has.
enum class room : std::uint8_t
{
    none,
    /// Only for the highest tier: the last of the bound is kept for it.
    highest_tier,
    any_tier,
};

/// Engines of one region that have room, for one model.
struct region_room
{
    open_list any_tier;
    /// Those of `any_tier` that fall to this host.
    open_list owned;
    open_list highest_tier;
};

/// One model: its engines and what waits for them.
struct model_group
{
    explicit model_group(std::vector<double> const& shares)
    {
        queue.set_shares(shares);
    }

    region_room& rooms(bool own_region)
    {
        return own_region ? own : others;
    }

    fair_queue queue;
    region_room own;
    region_room others;
    /// Engines that serve it, whatever their health.
    std::vector<index> engines;
    wait_estimator waits;
    prefill_rate prefill;
    memory_forecast memory;
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
