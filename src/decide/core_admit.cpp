#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

constexpr char const* retry_remedy =
    "send it again after the time in Retry-After";

} // namespace

void core::on(request_arrived const& input)
{
    if (input.request.id == model::request_id{}
        || find(input.request.id) != nullptr) {
        return;
    }
    entry& waiting = add_entry(input.request);
    if (refuse_quarantined(waiting) || refuse_over_limit(waiting)) {
        return;
    }
    m_teams[waiting.team].limiter.record_admission(token_cost(waiting), m_now);
    waiting.charged_tokens = token_cost(waiting);
    waiting.counts_in_limits = true;
    m_retries[waiting.class_id].record_attempt(
        m_policy.rules(waiting.class_id).retry_ratio, m_now);
    if (waiting.is_service) {
        dispatch_service_call(waiting);
        return;
    }
    model_group& group = m_engines.groups()[waiting.group];
    group.waits.record_arrival(waiting.tier, m_now);
    if (group.engines.empty()) {
        refuse_request(waiting,
                       model::error_kind::unavailable,
                       model::milliseconds{1000},
                       "no_upstream",
                       "wait until an engine that serves the model is listed");
        return;
    }
    if (refuse_early(waiting) || hand_over_unreachable(waiting)) {
        return;
    }
    evict_if_full(waiting);
    model::request_id const id = waiting.id;
    enqueue(waiting);
    dispatch_queued(waiting.group);
    entry const* const found = find(id);
    if (found != nullptr && found->phase == phase::queued) {
        m_out->emplace_back(
            queued{id,
                   static_cast<std::uint32_t>(group.queue.size(found->tier)),
                   "no_room"});
    }
}

entry& core::add_entry(request const& arriving)
{
    entry& added = m_entries[arriving.id];
    added.id = arriving.id;
    added.fingerprint = arriving.fingerprint;
    added.prefix_blocks = arriving.prefix_blocks;
    added.arrived = m_now;
    added.class_id = m_policy.class_index(arriving.service_class);
    if (added.class_id >= m_retries.size()) {
        m_retries.resize(added.class_id + 1);
        m_class_last_seen.resize(added.class_id + 1);
    }
    m_class_last_seen[added.class_id] = m_now;
    class_rules const& rules = m_policy.rules(added.class_id);
    added.tier = rules.tier;
    // A request handed over by another host has already waited there.
    bool const has_waited = arriving.handed_over && arriving.arrived < m_now
                            && m_now - arriving.arrived < rules.max_wait;
    model::time_point const since = has_waited ? arriving.arrived : m_now;
    added.deadline = since + rules.first_token_target;
    added.expires = since + rules.max_wait;
    added.team = team_index(arriving.customer, arriving.team, arriving.plan);
    added.prompt_tokens = arriving.prompt_tokens;
    std::uint32_t const requested = arriving.max_output_tokens;
    added.max_output_tokens =
        requested == 0 ? rules.max_output_tokens
                       : std::min(requested, rules.max_output_tokens);
    added.repeatable = arriving.repeatable;
    added.from_peer = arriving.handed_over;
    added.is_service = !arriving.service.empty();
    if (added.is_service) {
        added.group = m_services.find(arriving.service);
    } else {
        added.group = m_engines.group(arriving.model, m_policy.shares());
        added.expected_output =
            m_lengths.predict(added.class_id, added.max_output_tokens);
    }
    added.suspect = m_quarantine.is_suspect(added.fingerprint);
    return added;
}

bool core::refuse_quarantined(entry& waiting)
{
    auto const time_left = m_quarantine.remaining(waiting.fingerprint, m_now);
    if (time_left.count() == 0) {
        return false;
    }
    refuse_request(waiting,
                   model::error_kind::quarantined,
                   time_left,
                   "crashed_engines",
                   "change the request: each engine that ran it crashed");
    return true;
}

bool core::refuse_over_limit(entry& waiting)
{
    // A team over its limits must not use the capacity that other teams pay
    // for. It is refused at once, since waiting does not bring it within
    // limits.
    team_state const& team = m_teams[waiting.team];
    auto const wait = team.limiter.delay_until_allowed(team.limits, m_now);
    if (wait.count() == 0 || waiting.from_peer) {
        return false;
    }
    refuse_request(waiting,
                   model::error_kind::refused,
                   wait,
                   "team_limit",
                   "send less, or ask for a plan with higher limits");
    return true;
}

bool core::refuse_early(entry& waiting)
{
    // Under saturation, a queue longer than the maximum wait only makes callers
    // wait for a refusal. An immediate refusal avoids that wait and carries the
    // best known retry delay. Under lasting overload this also applies to a
    // wait beyond the first-token target.
    model::milliseconds const wait = expected_wait(waiting);
    class_rules const& rules = m_policy.rules(waiting.class_id);
    bool const is_overloaded = gate(waiting).is_closed(m_now);
    model::milliseconds const limit =
        is_overloaded ? rules.first_token_target : rules.max_wait / 2;
    if (wait < limit) {
        return false;
    }
    if (try_hand_over(waiting, "queue_too_long")) {
        return true;
    }
    refuse_request(waiting,
                   model::error_kind::refused,
                   retry_delay(waiting),
                   "queue_too_long",
                   retry_remedy);
    return true;
}

void core::enqueue(entry& waiting)
{
    waiting.phase = phase::queued;
    waiting.queued_at = m_now;
    m_expiries.emplace(waiting.expires, waiting.id);
    if (waiting.suspect) {
        m_queued_suspects.push_back(waiting.id);
        return;
    }
    m_engines.groups()[waiting.group].queue.push(waiting, m_remote_tokens);
}

void core::dequeue(entry& waiting)
{
    m_expiries.erase({waiting.expires, waiting.id});
    auto const position = std::find(
        m_queued_suspects.begin(), m_queued_suspects.end(), waiting.id);
    if (waiting.suspect && position != m_queued_suspects.end()) {
        m_queued_suspects.erase(position);
        return;
    }
    m_engines.groups()[waiting.group].queue.remove(waiting);
}

} // namespace caperjunction::decide
