#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Attempts of one request. Beyond this number the cause is most likely the
// request or the whole fleet, and retries only add load.
constexpr std::uint32_t max_broken_attempts = 5;
// The same for calls of services: no quarantine ends them before.
constexpr std::uint32_t max_broken_calls = 3;
// Includes attempts that were not run, which cost only time.
constexpr std::uint32_t max_attempts = 12;
// Broken attempts kept until it is known whether the engine was lost.
constexpr std::size_t max_broken_records = 512;

} // namespace

void core::end_not_run(entry& running, index upstream)
{
    // No byte was sent, or the upstream refused to run it. Only after these
    // ends may a non-repeatable request be sent again. A service call still
    // gets only one attempt, since its claim is spent.
    if (running.is_service && !running.repeatable) {
        refuse_request(running,
                       model::error_kind::unavailable,
                       model::milliseconds{1000},
                       "instance_unreachable",
                       "send it again after the time in Retry-After");
        return;
    }
    retry(running, upstream, "not_run_there");
}

void core::pause_upstream(index upstream,
                          bool is_service,
                          model::milliseconds pause)
{
    model::time_point const until = m_now + pause;
    if (is_service) {
        m_services.pause(upstream, until);
        return;
    }
    engine_state& engine = m_engines.at(upstream);
    if (engine.health == engine_health::leaving) {
        return;
    }
    bool const is_out = engine.health == engine_health::ejected
                        || engine.health == engine_health::lost;
    engine.probe_at = is_out ? std::max(engine.probe_at, until) : until;
    if (!is_out) {
        engine.health = engine_health::ejected;
        m_out->emplace_back(
            eject_engine{engine.name, engine.probe_at, "asked_for_pause"});
    }
    m_engines.refresh(upstream, m_now);
}

void core::record_broken(entry& running, index upstream)
{
    broken_attempt const attempt{running.id,
                                 running.fingerprint,
                                 upstream,
                                 m_now,
                                 running.attempt_tokens == 0};
    if (running.evidence != crash_evidence::none) {
        // The engine was reported lost before this attempt ended.
        running.phase = phase::ended;
        record_suspect(attempt, running.evidence);
        running.suspect = m_quarantine.is_suspect(running.fingerprint);
        return;
    }
    if (m_broken_attempts.size() >= max_broken_records) {
        m_broken_attempts.erase(m_broken_attempts.begin());
    }
    m_broken_attempts.push_back(attempt);
}

void core::end_broken(entry& running, index upstream)
{
    running.may_have_run = true;
    ++running.broken_attempts;
    if (!running.is_service) {
        record_broken(running, upstream);
    }
    if (!running.repeatable) {
        // It may have run. A second run could charge a client twice, so the
        // caller is told that the outcome is unknown.
        refuse_request(running,
                       model::error_kind::upstream_failed,
                       model::milliseconds{1000},
                       "broken_midway",
                       "look up whether it took effect before sending it anew");
        return;
    }
    retry(running, upstream, "broken");
}

void core::retry(entry& waiting, index avoided, std::string const& reason)
{
    if (refuse_quarantined(waiting)) {
        return;
    }
    std::uint32_t const max_broken =
        waiting.is_service ? max_broken_calls : max_broken_attempts;
    if (waiting.broken_attempts >= max_broken || waiting.attempt >= max_attempts
        || !m_retries[waiting.class_id].try_acquire(m_now)) {
        refuse_request(waiting,
                       model::error_kind::upstream_failed,
                       model::milliseconds{1000},
                       reason + "_too_often",
                       "send it again after the time in Retry-After");
        return;
    }
    waiting.avoided_upstream = avoided;
    waiting.upstream = no_index;
    waiting.evidence = crash_evidence::none;
    if (waiting.is_service) {
        dispatch_service_call(waiting);
        return;
    }
    if (refuse_version_gone(waiting)) {
        return;
    }
    if (hand_over_unreachable(waiting)) {
        return;
    }
    class_rules const& rules = m_policy.rules(waiting.class_id);
    // The caller has already waited and may hold part of the answer: the
    // request keeps its deadline order and gets the full maximum wait again.
    waiting.expires = m_now + rules.max_wait;
    enqueue(waiting);
    index const group = waiting.group;
    dispatch_queued(group);
}

bool core::refuse_version_gone(entry& waiting)
{
    if (waiting.software == no_index
        || m_engines.has_software(waiting.group, waiting.software)) {
        return false;
    }
    refuse_request(waiting,
                   model::error_kind::upstream_failed,
                   model::milliseconds{0},
                   "version_gone",
                   "send it anew: no engine of the version that began the "
                   "answer is left");
    return true;
}

void core::end_waits_for_gone_versions()
{
    std::vector<model::request_id> waiting_for_version;
    for (auto const& [id, waiting] : m_entries) {
        if (waiting.phase == phase::queued && waiting.software != no_index) {
            waiting_for_version.push_back(id);
        }
    }
    // The same order on each replay of the events.
    std::sort(waiting_for_version.begin(), waiting_for_version.end());
    for (model::request_id const id : waiting_for_version) {
        entry& waiting = *find(id);
        if (!m_engines.has_software(waiting.group, waiting.software)) {
            dequeue(waiting);
            refuse_version_gone(waiting);
        }
    }
}

} // namespace caperjunction::decide
