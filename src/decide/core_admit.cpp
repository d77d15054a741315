#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

constexpr char const* retry_remedy =
    "send it again after the time in Retry-After";

/// Whether a host with this load can accept the tier: for this model it queues
/// lower tiers and has refused neither this tier nor a higher one.
bool has_spare_capacity(digest const& load, std::uint32_t model, index tier)
{
    bool has_lower_tier = false;
    for (queue_load const& item : load.queues) {
        if (item.model_hash != model) {
            continue;
        }
        if (item.tier <= tier && item.refused > 0) {
            return false;
        }
        has_lower_tier =
            has_lower_tier || (item.tier > tier && item.queued > 0);
    }
    return has_lower_tier;
}

/// Whether a host with this load runs requests on an engine of `group`.
bool reaches_engine(digest const& load,
                    model_group const& group,
                    engine_table const& engines)
{
    return std::any_of(
        load.engines.begin(), load.engines.end(), [&](engine_load const& item) {
            index const engine = engines.find_hash(item.engine_hash);
            return item.in_flight > 0
                   && std::find(
                          group.engines.begin(), group.engines.end(), engine)
                          != group.engines.end();
        });
}

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

bool core::try_hand_over(entry& waiting, std::string const& reason)
{
    // A higher tier must not be refused here while another host queues lower
    // tiers of the same model and refuses none. At most one hop, to prevent
    // loops. Each request starts with a different peer, to spread a burst.
    if (waiting.from_peer || waiting.attempt > 0) {
        return false;
    }
    std::uint32_t const model = name_hash(m_engines.model(waiting.group));
    for (std::size_t offset = 0; offset < m_peers.size(); ++offset) {
        peer const& target =
            m_peers[(waiting.id.value + offset) % m_peers.size()];
        if (target.live
            && has_spare_capacity(target.load, model, waiting.tier)) {
            hand_over_to(target, waiting, reason);
            return true;
        }
    }
    return false;
}

bool core::reaches_any_engine(model_group const& group) const
{
    return std::any_of(
        group.engines.begin(), group.engines.end(), [this](index engine) {
            return m_engines.at(engine).health != engine_health::lost;
        });
}

void core::hand_over_queued_unreachable(model_group& group)
{
    if (reaches_any_engine(group)) {
        return;
    }
    for (index tier = 0; tier < group.queue.tiers(); ++tier) {
        auto const arrivals = group.queue.queue(tier).arrivals();
        for (entry* const waiting : arrivals) {
            dequeue(*waiting);
            if (!hand_over_unreachable(*waiting)) {
                enqueue(*waiting);
            }
        }
    }
}

bool core::hand_over_unreachable(entry& waiting)
{
    // Engines that this host has lost may still be reached by others. Without
    // this, the request waits here until it is refused.
    model_group const& group = m_engines.groups()[waiting.group];
    if (reaches_any_engine(group) || waiting.from_peer
        || waiting.was_handed_over || waiting.may_have_run
        || !waiting.repeatable || waiting.suspect) {
        return false;
    }
    for (std::size_t offset = 0; offset < m_peers.size(); ++offset) {
        peer const& target =
            m_peers[(waiting.id.value + offset) % m_peers.size()];
        if (target.live && reaches_engine(target.load, group, m_engines)) {
            waiting.returns_to_queue = true;
            hand_over_to(target, waiting, "engines_unreachable");
            return true;
        }
    }
    return false;
}

void core::hand_over_to(peer const& target,
                        entry& waiting,
                        std::string const& reason)
{
    m_out->emplace_back(hand_over{waiting.id, target.name, reason});
    waiting.phase = phase::handed_over;
    waiting.was_handed_over = true;
    // The entry must outlive a refusal by the other host, where the request
    // waits at most the maximum wait as well.
    waiting.expires = m_now + 2 * m_policy.rules(waiting.class_id).max_wait;
    m_expiries.emplace(waiting.expires, waiting.id);
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
