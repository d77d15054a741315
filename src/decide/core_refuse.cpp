#include "decide/core.hpp"
#include "model/limits.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Bounds of a refusal's Retry-After. A shorter delay lets resends add to the
// burst that caused the refusal; a longer one makes callers give up.
constexpr model::milliseconds min_retry_after{250};
constexpr model::milliseconds max_retry_after{600'000};
// Upper bound for a delay that is predicted from the length of overload.
constexpr model::milliseconds max_forecast{300'000};
// A tier counts as refused while its refusal rate is above the minimum, so that
// a single refusal counts only briefly.
constexpr model::milliseconds refusal_horizon{2000};
constexpr double min_refusal_rate = 0.1;
constexpr char const* retry_remedy =
    "send it again after the time in Retry-After";

model::milliseconds clamp_retry(model::milliseconds wait)
{
    return std::clamp(wait, min_retry_after, max_retry_after);
}

} // namespace

overload_gate& core::gate(entry const& waiting)
{
    auto& gates = m_engines.groups()[waiting.group].gates;
    if (waiting.tier >= gates.size()) {
        gates.resize(waiting.tier + 1);
    }
    return gates[waiting.tier];
}

bool core::misses_deadline(entry const& waiting) const
{
    // A request that was handed to an engine before must be completed.
    if (waiting.attempt > 0) {
        return false;
    }
    model_group const& group = m_engines.groups()[waiting.group];
    model::seconds const prefill{waiting.prompt_tokens
                                 / group.prefill_estimate.tokens_per_second()};
    return m_now + prefill >= waiting.deadline;
}

bool core::is_higher_tier_refused(entry const& waiting)
{
    model_group const& group = m_engines.groups()[waiting.group];
    for (index tier = 0; tier < waiting.tier; ++tier) {
        bool const refused_locally =
            tier < group.refusals.size()
            && group.refusals[tier].per_second(m_now) > min_refusal_rate;
        bool const refused_by_peers =
            tier < group.peer_refused.size() && group.peer_refused[tier] > 0;
        if (refused_locally || refused_by_peers) {
            return true;
        }
    }
    return false;
}

model::milliseconds core::retry_delay(entry const& waiting)
{
    // The end of an overload cannot be known. If periods of all lengths are
    // equally likely, one that has lasted for some time ends within twice that
    // time in two cases out of three. An earlier resend would most likely be
    // refused again, or take the place of a new request that can still meet its
    // target.
    auto const expected_remaining = 2 * gate(waiting).closed_for(m_now);
    return std::min(max_forecast,
                    std::max(expected_wait(waiting), expected_remaining));
}

void core::refuse_late(entry& waiting)
{
    // The request is given up, so it is refused at once. Further waiting would
    // only keep the caller from retrying when there is capacity.
    dequeue(waiting);
    if (try_hand_over(waiting, "late_here")) {
        return;
    }
    refuse_request(waiting,
                   model::error_kind::refused,
                   retry_delay(waiting),
                   "target_missed_under_overload",
                   retry_remedy);
}

void core::evict_if_full(entry const& arriving)
{
    // Memory is bounded. When the queues are full, the newest request of the
    // lowest tier is evicted: it has waited least and has the lowest guarantee.
    std::size_t total = 0;
    for (model_group const& group : m_engines.groups()) {
        total += group.queue.size();
    }
    if (total < model::limits::max_queued_requests) {
        return;
    }
    for (index tier = m_policy.lowest_tier() + 1; tier-- > arriving.tier;) {
        for (model_group& group : m_engines.groups()) {
            if (group.queue.size(tier) == 0) {
                continue;
            }
            entry& evicted = *group.queue.queue(tier).newest();
            dequeue(evicted);
            refuse_request(evicted,
                           model::error_kind::refused,
                           retry_delay(evicted),
                           "evicted",
                           retry_remedy);
            return;
        }
    }
}

model::milliseconds core::expected_wait(entry const& waiting) const
{
    model_group const& group = m_engines.groups()[waiting.group];
    return group.waits.predict(
        group.queue, m_policy.shares(), waiting.tier, m_now);
}

void core::refuse_request(entry& waiting,
                          model::error_kind kind,
                          model::milliseconds retry_after,
                          std::string reason,
                          std::string remedy)
{
    if (kind == model::error_kind::refused && !waiting.is_service) {
        auto& refusals = m_engines.groups()[waiting.group].refusals;
        while (refusals.size() <= waiting.tier) {
            refusals.emplace_back(refusal_horizon);
        }
        refusals[waiting.tier].add(1.0, m_now);
        gate(waiting).record_refusal(m_now);
    }
    auto const outcome = waiting.may_have_run ? model::outcome::unknown
                                              : model::outcome::not_run;
    m_out->emplace_back(refuse{waiting.id,
                               kind,
                               outcome,
                               clamp_retry(retry_after),
                               std::move(reason),
                               std::move(remedy)});
    finish(waiting);
}

void core::finish(entry& done)
{
    if (done.counts_in_limits) {
        double const used = done.attempt == 0 ? 0.0 : token_cost(done);
        m_teams[done.team].limiter.record_end(used - done.charged_tokens,
                                              m_now);
    }
    m_entries.erase(done.id);
}

} // namespace caperjunction::decide
