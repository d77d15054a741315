#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

constexpr char const* come_back = "send it again after the time in Retry-After";

/// Whether a host with this load has room to spare for the tier.
bool takes(digest const& load, std::uint32_t model, index tier)
{
    bool lower = false;
    for (queue_load const& one : load.queues) {
        if (one.model_hash != model) {
            continue;
        }
        if (one.tier <= tier && one.refused > 0) {
            return false;
        }
        lower = lower || (one.tier > tier && one.queued > 0);
    }
    return lower;
}

} // namespace

void core::on(request_arrived const& happened)
{
    if (happened.request.id == model::request_id{}
        || find(happened.request.id) != nullptr) {
        return;
    }
    entry& waiting = admit(happened.request);
    if (refuse_quarantined(waiting) || refuse_over_limit(waiting)) {
        return;
    }
    m_teams[waiting.team].limiter.admitted(token_cost(waiting), m_now);
    waiting.charged = token_cost(waiting);
    waiting.limited = true;
    m_retries[waiting.class_place].record_attempt(
        m_policy.rules(waiting.class_place).retry_ratio, m_now);
    if (waiting.is_service) {
        start_service(waiting);
        return;
    }
    model_group& group = m_engines.groups()[waiting.group];
    group.waits.arrived(waiting.tier, m_now);
    if (group.engines.empty()) {
        refuse_request(waiting,
                       model::error_kind::unavailable,
                       model::milliseconds{1000},
                       "no_upstream",
                       "wait until an engine that serves the model is listed");
        return;
    }
    if (refuse_early(waiting)) {
        return;
    }
    make_room(waiting);
    model::request_id const id = waiting.id;
    enqueue(waiting);
    drain(waiting.group);
    entry const* const still = find(id);
    if (still != nullptr && still->phase == phase::queued) {
        m_out->emplace_back(
            queued{id,
                   static_cast<std::uint32_t>(group.queue.size(still->tier)),
                   "no_room"});
    }
}

entry& core::admit(request const& source)
{
    entry& made = m_entries[source.id];
    made.id = source.id;
    made.fingerprint = source.fingerprint;
    made.prefix_blocks = source.prefix_blocks;
    made.arrived = m_now;
    made.class_place = m_policy.class_index(source.service_class);
    if (made.class_place >= m_retries.size()) {
        m_retries.resize(made.class_place + 1);
        m_class_seen.resize(made.class_place + 1);
    }
    m_class_seen[made.class_place] = m_now;
    class_rules const& rules = m_policy.rules(made.class_place);
    made.tier = rules.tier;
    // One that another host hands over has waited there already.
    bool const waited = source.handed_over && source.arrived < m_now
                        && m_now - source.arrived < rules.max_wait;
    model::time_point const since = waited ? source.arrived : m_now;
    made.deadline = since + rules.first_token;
    made.expires = since + rules.max_wait;
    made.team = team_index(source.customer, source.team, source.plan);
    made.prompt_tokens = source.prompt_tokens;
    std::uint32_t const asked = source.max_output_tokens;
    made.max_output_tokens = asked == 0
                                 ? rules.max_output_tokens
                                 : std::min(asked, rules.max_output_tokens);
    made.repeatable = source.repeatable;
    made.taken_over = source.handed_over;
    made.is_service = !source.service.empty();
    if (made.is_service) {
        made.group = m_services.find(source.service);
    } else {
        made.group = m_engines.group(source.model, m_policy.shares());
        made.expected_output =
            m_lengths.predict(made.class_place, made.max_output_tokens);
    }
    made.suspect = m_quarantine.suspected(made.fingerprint);
    return made;
}

bool core::refuse_quarantined(entry& waiting)
{
    auto const left = m_quarantine.remaining(waiting.fingerprint, m_now);
    if (left.count() == 0) {
        return false;
    }
    refuse_request(waiting,
                   model::error_kind::quarantined,
                   left,
                   "crashed_engines",
                   "change the request: each engine that ran it crashed");
    return true;
}

bool core::refuse_over_limit(entry& waiting)
{
    // One team over its plan must not use what others have paid for; it is
    // told so at once, since waiting here would not make it fit.
    team_state const& team = m_teams[waiting.team];
    auto const wait = team.limiter.check(team.limits, m_now);
    if (wait.count() == 0 || waiting.taken_over) {
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
    // Made for saturation: a queue that is longer than the longest wait only
    // makes callers wait for a refusal. Said at once, it costs them nothing,
    // and the time to come back is the best that is known.
    // Under lasting overload the same holds of a wait beyond the target.
    model::milliseconds const wait = expected_wait(waiting);
    class_rules const& rules = m_policy.rules(waiting.class_place);
    bool const shut = gate(waiting).shut(m_now);
    model::milliseconds const longest =
        shut ? rules.first_token : rules.max_wait / 2;
    if (wait < longest) {
        return false;
    }
    if (hand_to_peer(waiting, "queue_too_long")) {
        return true;
    }
    refuse_request(waiting,
                   model::error_kind::refused,
                   time_to_come_back(waiting),
                   "queue_too_long",
                   come_back);
    return true;
}

bool core::hand_to_peer(entry& waiting, std::string const& reason)
{
    // A higher tier must not be refused here while another host still queues
    // lower work for the same model and refuses nothing. One hop only, so
    // that it can't circle; from different peers on, so that a burst of them
    // doesn't fall on one.
    if (waiting.taken_over || waiting.attempt > 0) {
        return false;
    }
    std::uint32_t const model = name_hash(m_engines.model(waiting.group));
    for (std::size_t tried = 0; tried < m_peers.size(); ++tried) {
        peer const& other =
            m_peers[(waiting.id.value + tried) % m_peers.size()];
        if (!other.live || !takes(other.load, model, waiting.tier)) {
            continue;
        }
        m_out->emplace_back(hand_over{waiting.id, other.name, reason});
        waiting.phase = phase::handed_over;
        // The other host's refusal must find it: by then its longest wait is
        // over there as well.
        waiting.expires =
            m_now + 2 * m_policy.rules(waiting.class_place).max_wait;
        m_expiries.emplace(waiting.expires, waiting.id);
        return true;
    }
    return false;
}

void core::enqueue(entry& waiting)
{
    waiting.phase = phase::queued;
    waiting.queued_at = m_now;
    m_expiries.emplace(waiting.expires, waiting.id);
    if (waiting.suspect) {
        m_waiting_suspects.push_back(waiting.id);
        return;
    }
    m_engines.groups()[waiting.group].queue.push(waiting, m_elsewhere);
}

void core::dequeue(entry& waiting)
{
    m_expiries.erase({waiting.expires, waiting.id});
    auto const place = std::find(
        m_waiting_suspects.begin(), m_waiting_suspects.end(), waiting.id);
    if (waiting.suspect && place != m_waiting_suspects.end()) {
        m_waiting_suspects.erase(place);
        return;
    }
    m_engines.groups()[waiting.group].queue.remove(waiting);
}

} // namespace caperjunction::decide
