#include "routing/affinity_order.hpp"
#include "routing/engine_forecast.hpp"
#include "routing/picker.hpp"
#include "routing/placement_cost.hpp"
#include "routing/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace caperjunction::routing {
namespace {

/// Prefixes of the same id at different services have nothing in common.
std::uint64_t demand_key(pick_request const& request)
{
    return XXH3_64bits_withSeed(request.service.data(),
                                request.service.size(),
                                request.prompt->prefix_id());
}

/// Returns what a request takes of an engine, in prompt tokens: see
/// `prefix_demand`.
double demand_of(pick_request const& request, upstream_state const& engine)
{
    double const slots = std::max(1U, engine.description.slots);
    return request.prompt->own_tokens()
           + engine.capacity.slot_ms / slots * engine.capacity.tokens_per_ms;
}

} // namespace

void picker::choose_affinity(pick_request const& request,
                             std::vector<upstream_ptr> const& usable,
                             model::time_point now,
                             engine_partition& groups) const
{
    std::uint64_t const prefix = request.prompt->prefix_id();
    affinity_order order;
    for (upstream_ptr const& item : usable) {
        bool const is_reserved = item->reservation_rank < groups.reserved;
        if (is_reserved == request.is_most_urgent) {
            order.add(*item, rendezvous_score(item->description.id, prefix));
        }
    }
    auto const best = order.best();
    if (best.empty()) {
        return;
    }
    std::size_t position = 0;
    if (request.by_capacity) {
        double const demand =
            m_prefix_demand.tokens_per_second(demand_key(request), now)
            * static_cast<double>(request.hosts);
        position = affinity_position(
            best, affinity_engine_count(best, demand), request.request_hash);
    }
    groups.affinity_engine = best[position];
    if (position + 1 < best.size()) {
        groups.overflow_engine = best[position + 1];
    }
}

void picker::measure_urgency(pick_request const& request,
                             std::size_t engines,
                             engine_partition& groups) const
{
    if (request.rank_loads == nullptr) {
        return;
    }
    constexpr double ms_per_second = 1'000.0;
    for (bool const is_reserved : {false, true}) {
        std::size_t const index = is_reserved ? 1 : 0;
        std::size_t const count =
            is_reserved ? groups.reserved : engines - groups.reserved;
        groups.pending_share[index] =
            request.rank_loads->pending_share(is_reserved, request.rank);
        groups.mean_ahead[index] =
            request.rank_loads->pending_up_to(is_reserved, request.rank)
            / static_cast<double>(std::max<std::size_t>(1, count));
        groups.more_urgent_per_ms[index] =
            request.rank_loads->more_urgent(is_reserved, request.rank)
            / ms_per_second
            / static_cast<double>(std::max<std::size_t>(1, count));
    }
}

// Reports of most urgent prompts are used as they are: their queues are short,
// and their wait for slots is forecast separately.
double picker::queued_tokens(pick_request const& request,
                             upstream_state const& candidate,
                             engine_partition const& groups,
                             pick& out) const
{
    auto const pending =
        static_cast<double>(candidate.pending_prefill_tokens());
    if (request.rank_loads == nullptr) {
        return pending;
    }
    std::size_t const index =
        candidate.reservation_rank < groups.reserved ? 1 : 0;
    queue_forecast_inputs inputs;
    inputs.tokens_per_ms = m_weights.tokens_per_ms / out.performance.slowdown;
    inputs.begun_tokens = m_weights.base_ms * m_weights.tokens_per_ms;
    inputs.more_urgent_per_ms = groups.more_urgent_per_ms[index];
    double const reported =
        static_cast<double>(candidate.others.pending_prefill_tokens)
        * groups.pending_share[index];
    double const changed =
        request.is_most_urgent
            ? 0.0
            : share_changed(static_cast<double>(request.load_age.count()),
                            groups.mean_ahead[index] / inputs.tokens_per_ms);
    inputs.ahead_tokens =
        static_cast<double>(candidate.own_ranks.pending_up_to(request.rank))
        + reported + (groups.mean_ahead[index] - reported) * changed;
    inputs.less_urgent_tokens = std::max(0.0, pending - inputs.ahead_tokens);
    out.more_urgent_share = more_urgent_share(inputs);
    out.tokens_ahead = tokens_ahead(inputs);
    return out.tokens_ahead;
}

// Slots and memory become free together, so that the longer wait counts.
double picker::wait_ms(pick_request const& request,
                       upstream_state const& candidate,
                       pick& out) const
{
    double const for_urgent =
        request.is_most_urgent
            ? slot_wait_ms(m_weights, candidate, request.load_age)
            : 0.0;
    if (!request.by_capacity) {
        return for_urgent;
    }
    double const slot_ms = candidate.capacity.slot_ms;
    upstream_load const& own = candidate.own;
    upstream_load const& others = candidate.others;
    double const for_memory = memory_wait_ms(
        {static_cast<double>(own.memory_tokens + others.memory_tokens),
         static_cast<double>(request.prompt->memory_tokens()),
         static_cast<double>(request.kv_cache_tokens),
         slot_ms});
    out.waits_for_memory = for_memory > 0.0;
    double const slots = candidate.description.slots;
    double const for_slot =
        request.is_most_urgent
            ? for_urgent
            : slot_wait_ms(
                {static_cast<double>(candidate.running()), slots, slot_ms});
    return std::max(for_slot, for_memory);
}

void picker::record_demand(pick_request const& request,
                           upstream_state const& chosen,
                           model::time_point now)
{
    if (request.prompt->prefix_id() != 0) {
        m_prefix_demand.record(
            demand_key(request), demand_of(request, chosen), now);
    }
}

} // namespace caperjunction::routing
