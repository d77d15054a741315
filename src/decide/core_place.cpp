#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Dispatches for one event: one event frees little room, and the rest is
// found by the next.
constexpr std::size_t most_starts = 32;
constexpr std::size_t suspects_a_tick = 16;
constexpr std::size_t most_shed = 64;
// Less than the time in which a digest has come round.
constexpr model::milliseconds lower_wait{300};

} // namespace

void core::drain(index group_place)
{
    // Late binding: what has no room stays here, where it can still be put
    // behind a higher tier; it starts when an engine's bound allows.
    for (std::size_t started = 0; started < most_starts; ++started) {
        if (!start_next(group_place)) {
            return;
        }
    }
}

bool core::start_next(index group_place)
{
    for (entry* const head :
         m_engines.groups()[group_place].queue.turns(m_elsewhere)) {
        if (head == nullptr) {
            break;
        }
        if (hopeless(*head) && gate(*head).shut(m_now)) {
            refuse_late(*head);
            return true;
        }
        if (!must_yield(*head) && start(*head)) {
            return true;
        }
    }
    return false;
}

void core::drain_suspects()
{
    std::size_t const count =
        std::min(m_waiting_suspects.size(), suspects_a_tick);
    std::vector<model::request_id> const waiting(
        m_waiting_suspects.begin(),
        m_waiting_suspects.begin() + static_cast<std::ptrdiff_t>(count));
    for (model::request_id const id : waiting) {
        entry* const one = find(id);
        if (one == nullptr) {
            continue;
        }
        auto const left = m_quarantine.remaining(one->fingerprint, m_now);
        if (left.count() > 0) {
            dequeue(*one);
            refuse_quarantined(*one);
        } else if (!m_quarantine.suspected(one->fingerprint)) {
            // Another run of it ended well.
            dequeue(*one);
            one->suspect = false;
            enqueue(*one);
            drain(one->group);
        } else if (!higher_waits(*one)) {
            start(*one);
        }
    }
}

void core::shed_late(index group_place)
{
    model_group& group = m_engines.groups()[group_place];
    for (index tier = 0; tier < group.queue.tiers(); ++tier) {
        for (std::size_t looked = 0; looked < most_shed; ++looked) {
            auto const& arrivals = group.queue.queue(tier).arrivals();
            if (arrivals.empty()) {
                if (tier < group.gates.size()) {
                    group.gates[tier].observe(false, m_now);
                }
                break;
            }
            entry& oldest = *arrivals.front();
            bool const late = hopeless(oldest);
            gate(oldest).observe(late, m_now);
            // While a higher tier is refused anywhere, lower work doesn't pile
            // up in the places that it could have had: it starts within its
            // share at once, or is told to come back.
            bool const in_the_way = oldest.attempt == 0
                                    && !group.queue.owed(oldest)
                                    && m_now - oldest.queued_at > lower_wait
                                    && higher_refused(oldest);
            bool const given_up = late && gate(oldest).shut(m_now);
            if (!given_up && !in_the_way) {
                break;
            }
            refuse_late(oldest);
        }
    }
}

bool core::higher_waits(entry const& waiting) const
{
    // A suspect stands outside the queue; unless it had been running, that
    // must not bring it ahead of a higher tier.
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
    // The engines are shared: room that this host sees may be what a higher
    // tier on another host waits for. It goes first there, unless this tier
    // has earned its guaranteed share.
    model_group const& group = m_engines.groups()[waiting.group];
    if (group.queue.owed(waiting)) {
        return false;
    }
    for (index tier = 0; tier < waiting.tier; ++tier) {
        if (tier < group.peer_queued.size() && group.peer_queued[tier] > 0) {
            return true;
        }
    }
    return false;
}

bool core::start(entry& waiting)
{
    waiting.owed = m_engines.groups()[waiting.group].queue.owed(waiting);
    placement chosen =
        m_placer.place(waiting, m_engines, m_prefixes, m_policy.tiers(), m_now);
    if (chosen.engine == no_index) {
        return false;
    }
    m_placer.use(chosen, m_now);
    dequeue(waiting);
    model_group& group = m_engines.groups()[waiting.group];
    if (!waiting.suspect) {
        group.queue.serve(waiting, token_cost(waiting), m_now);
    }
    group.waits.started();
    group.memory.add(waiting);
    engine_state& engine = m_engines.at(chosen.engine);
    waiting.upstream = chosen.engine;
    waiting.prefill = chosen.prefill;
    engine.dispatched(waiting.id, chosen.prefill, m_now);

    if (waiting.suspect) {
        ++engine.suspects;
        m_quarantine.running(waiting.fingerprint, name_hash(engine.name));
    }
    for (std::uint64_t const block : waiting.prefix_blocks) {
        m_prefixes.store(block, chosen.engine, m_now);
    }
    m_engines.refresh(chosen.engine, m_now);
    send(waiting, std::move(chosen), "predicted_first_token");
    return true;
}

bool core::start_service(entry& waiting)
{
    bool const listed =
        waiting.group != no_index && m_services.has_instances(waiting.group);
    index const chosen =
        listed ? m_services.choose(waiting.group, waiting.avoided) : no_index;
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
    m_services.started(chosen);
    placement placed;
    placed.engine = chosen;
    send(waiting, std::move(placed), "least_outstanding");
    return true;
}

void core::send(entry& waiting, placement chosen, std::string reason)
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
