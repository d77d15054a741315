#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Maximum dispatches per event. One event frees little capacity; later events
// dispatch the rest.
constexpr std::size_t max_dispatches_per_event = 32;
constexpr std::size_t suspects_per_tick = 16;
constexpr std::size_t max_shed_per_tick = 64;
// Shorter than the time that digests take to reach all hosts.
constexpr model::milliseconds lower_tier_max_wait{300};

} // namespace

void core::dispatch_queued(index group_index)
{
    // Late binding: requests without capacity stay in this queue, where higher
    // tiers can still pass them, until an engine's concurrency limit allows
    // them.
    for (std::size_t dispatched = 0; dispatched < max_dispatches_per_event;
         ++dispatched) {
        if (!dispatch_next(group_index)) {
            return;
        }
    }
}

bool core::dispatch_next(index group_index)
{
    for (entry* const head :
         m_engines.groups()[group_index].queue.dispatch_order(
             m_remote_tokens)) {
        if (head == nullptr) {
            break;
        }
        if (misses_deadline(*head) && gate(*head).is_closed(m_now)) {
            refuse_late(*head);
            return true;
        }
        if (!must_yield(*head) && try_dispatch(*head)) {
            return true;
        }
    }
    return false;
}

void core::dispatch_suspects()
{
    std::size_t const count =
        std::min(m_queued_suspects.size(), suspects_per_tick);
    std::vector<model::request_id> const waiting(
        m_queued_suspects.begin(),
        m_queued_suspects.begin() + static_cast<std::ptrdiff_t>(count));
    for (model::request_id const id : waiting) {
        entry* const request = find(id);
        if (request == nullptr) {
            continue;
        }
        auto const remaining =
            m_quarantine.remaining(request->fingerprint, m_now);
        if (remaining.count() > 0) {
            dequeue(*request);
            refuse_quarantined(*request);
        } else if (!m_quarantine.is_suspect(request->fingerprint)) {
            // Another run of this fingerprint ended well.
            dequeue(*request);
            request->suspect = false;
            enqueue(*request);
            dispatch_queued(request->group);
        } else if (!is_higher_tier_queued(*request)) {
            try_dispatch(*request);
        }
    }
}

void core::shed_late(index group_index)
{
    model_group& group = m_engines.groups()[group_index];
    for (index tier = 0; tier < group.queue.tiers(); ++tier) {
        for (std::size_t checked = 0; checked < max_shed_per_tick; ++checked) {
            auto const& arrivals = group.queue.queue(tier).arrivals();
            if (arrivals.empty()) {
                if (tier < group.gates.size()) {
                    group.gates[tier].observe(false, m_now);
                }
                break;
            }
            entry& oldest = *arrivals.front();
            bool const is_late = misses_deadline(oldest);
            gate(oldest).observe(is_late, m_now);
            // While a higher tier is refused on any host, lower tiers must not
            // occupy the queue places that it could have had. Lower requests
            // are dispatched immediately within their share, or refused.
            bool const blocks_higher_tier =
                oldest.attempt == 0 && !group.queue.is_below_share(oldest)
                && m_now - oldest.queued_at > lower_tier_max_wait
                && is_higher_tier_refused(oldest);
            bool const is_shed = is_late && gate(oldest).is_closed(m_now);
            if (!is_shed && !blocks_higher_tier) {
                break;
            }
            refuse_late(oldest);
        }
    }
}

bool core::is_higher_tier_queued(entry const& waiting) const
{
    // A suspect is outside the queue. It must not pass a higher tier this way,
    // unless it had already been running.
    fair_queue const& queue = m_engines.groups()[waiting.group].queue;
    for (index tier = 0; tier < waiting.tier; ++tier) {
        if (waiting.attempt == 0 && queue.size(tier) > 0) {
            return true;
        }
    }
    return false;
}

bool core::must_yield(entry const& waiting) const
{
    // Engines are shared between hosts: capacity visible here may be what a
    // higher tier on another host waits for. The higher tier goes first, unless
    // this tier is below its guaranteed share.
    model_group const& group = m_engines.groups()[waiting.group];
    if (group.queue.is_below_share(waiting)) {
        return false;
    }
    for (index tier = 0; tier < waiting.tier; ++tier) {
        if (tier < group.peer_queued.size() && group.peer_queued[tier] > 0) {
            return true;
        }
    }
    return false;
}

bool core::try_dispatch(entry& waiting)
{
    waiting.below_share =
        m_engines.groups()[waiting.group].queue.is_below_share(waiting);
    placement chosen =
        m_placer.place(waiting, m_engines, m_prefixes, m_policy.tiers(), m_now);
    if (chosen.engine == no_index) {
        return false;
    }
    m_placer.charge_link(chosen, m_now);
    dequeue(waiting);
    model_group& group = m_engines.groups()[waiting.group];
    waiting.is_charged = !waiting.suspect;
    if (waiting.is_charged) {
        // What the caller already has was charged with an earlier attempt.
        group.queue.record_served(
            waiting, token_cost(waiting) - waiting.relayed, m_now);
    }
    group.waits.record_start();
    group.kv_forecast.add(waiting);
    engine_state& engine = m_engines.at(chosen.engine);
    waiting.upstream = chosen.engine;
    waiting.pending_prefill_tokens = chosen.prefill_tokens;
    engine.record_dispatch(waiting.id, chosen.prefill_tokens, m_now);

    if (waiting.suspect) {
        ++engine.suspects;
        m_quarantine.set_running_engine(waiting.fingerprint,
                                        name_hash(engine.name));
    }
    for (std::uint64_t const block : waiting.prefix_blocks) {
        m_prefixes.store(block, chosen.engine, m_now);
    }
    m_engines.refresh(chosen.engine, m_now);
    emit_dispatch(waiting, std::move(chosen), "predicted_first_token");
    return true;
}

bool core::dispatch_service_call(entry& waiting)
{
    bool const listed =
        waiting.group != no_index && m_services.has_instances(waiting.group);
    index const chosen =
        listed
            ? m_services.choose(waiting.group, waiting.avoided_upstream, m_now)
            : no_index;
    if (chosen == no_index) {
        refuse_request(waiting,
                       listed ? model::error_kind::refused
                              : model::error_kind::unavailable,
                       model::milliseconds{1000},
                       listed ? "instances_full" : "no_upstream",
                       "send it again after the time in Retry-After");
        return false;
    }
    waiting.upstream = chosen;
    m_services.record_start(chosen);
    placement selected;
    selected.engine = chosen;
    emit_dispatch(waiting, std::move(selected), "least_outstanding");
    return true;
}

void core::emit_dispatch(entry& waiting, placement chosen, std::string reason)
{
    waiting.phase = phase::running;
    waiting.dispatched = m_now;
    waiting.first_token = {};
    waiting.last_token = {};
    waiting.attempt_tokens = 0;
    ++waiting.attempt;
    std::string const& upstream = waiting.is_service
                                      ? m_services.name(waiting.upstream)
                                      : m_engines.at(waiting.upstream).name;
    m_out->emplace_back(dispatch{waiting.id,
                                 upstream,
                                 waiting.tier,
                                 waiting.relayed,
                                 waiting.attempt,
                                 std::move(chosen.candidates),
                                 std::move(reason)});
}

} // namespace caperjunction::decide
