#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Engines refreshed in one tick: all engines of a fleet of up to 32. With
// 10,000 engines each is refreshed within seconds, and earlier by its own
// events.
constexpr std::size_t engines_per_tick = 32;
// A lost process needs seconds to restart; probing earlier only costs requests.
constexpr model::milliseconds initial_lost_penalty{2000};
constexpr model::milliseconds max_lost_penalty{30'000};
// Successful answers after which a probed engine is readmitted.
constexpr std::uint32_t min_good_probes = 3;
// An attempt that broke within this time belongs to the same crash.
constexpr model::milliseconds crash_window{3000};
// A class without requests for this long no longer limits the batches.
constexpr model::milliseconds class_idle_timeout{30'000};
constexpr double trust_factor_after_gap = 0.6;

crash_evidence
assess_evidence(bool is_early, bool any_early, bool is_only_suspect)
{
    if (is_early || is_only_suspect) {
        return crash_evidence::strong;
    }
    return any_early ? crash_evidence::none : crash_evidence::weak;
}

} // namespace

void core::on(engine_report const& input)
{
    index const engine_index = m_engines.find(input.engine);
    if (engine_index == no_index) {
        return;
    }
    engine_state& engine = m_engines.at(engine_index);
    engine.apply_report(input);
    if (!input.models.empty()) {
        m_engines.serve_models(
            engine_index, input.models, m_policy.shares(), m_now);
    }
    m_engines.refresh(engine_index, m_now);
    dispatch_for_engine(engine_index);
}

void core::on(cache_changed const& input)
{
    index const engine_index = m_engines.find(input.engine);
    if (engine_index == no_index) {
        return;
    }
    engine_state& engine = m_engines.at(engine_index);
    // Lost events mean that blocks were added or evicted unnoticed.
    if (engine.cache_sequence != 0
        && input.sequence != engine.cache_sequence + 1) {
        engine.cache_trust *= trust_factor_after_gap;
    }
    engine.cache_sequence = input.sequence;
    for (std::uint64_t const block : input.stored) {
        m_prefixes.store(block, engine_index, m_now);
    }
    for (std::uint64_t const block : input.evicted) {
        m_prefixes.evict(block, engine_index);
    }
}

void core::on(engine_lost const& input)
{
    index const engine_index = m_engines.find(input.engine);
    if (engine_index == no_index) {
        return;
    }
    mark_lost(engine_index);
    attribute_crash(engine_index);
}

void core::mark_lost(index engine_index)
{
    engine_state& engine = m_engines.at(engine_index);
    if (engine.health == engine_health::lost) {
        return;
    }
    if (engine.health != engine_health::leaving) {
        engine.health = engine_health::lost;
        engine.penalty = std::clamp(
            engine.penalty * 2, initial_lost_penalty, max_lost_penalty);
        engine.probe_at = m_now + engine.penalty;
        engine.gap_ms.reset();
        m_out->emplace_back(
            eject_engine{engine.name, engine.probe_at, "engine_lost"});
    }
    // The prefix cache is lost with the process.
    engine.cache_trust = 0.0;
    m_engines.refresh(engine_index, m_now);
    for (index const group : engine.groups) {
        hand_over_queued_unreachable(m_engines.groups()[group]);
    }
}

void core::attribute_crash(index engine_index)
{
    // The cause of a crash usually strikes before its first token. Requests
    // that were streaming get weak evidence, and only if no request here had
    // just started: most are innocent, and each suspect needs an engine without
    // other suspects. For a request still in flight, the evidence counts once
    // its attempt ends as broken; if the attempt only found the engine gone,
    // the request had no part in the crash.
    engine_state const& engine = m_engines.at(engine_index);
    std::vector<broken_attempt> const broken = extract_broken(engine_index);
    std::size_t involved_count = broken.size();
    bool any_early =
        std::any_of(broken.begin(), broken.end(), [](auto& attempt) {
            return attempt.is_early;
        });
    for (model::request_id const id : engine.in_flight) {
        entry const* const running = find(id);
        if (running != nullptr) {
            ++involved_count;
            any_early = any_early || running->attempt_tokens == 0;
        }
    }
    bool const is_alone = involved_count == 1 && engine.peer_requests == 0;
    for (model::request_id const id : engine.in_flight) {
        entry* const running = find(id);
        if (running != nullptr) {
            bool const is_early = running->attempt_tokens == 0;
            running->evidence = assess_evidence(
                is_early, any_early, is_alone || running->suspect);
        }
    }
    for (broken_attempt const& attempt : broken) {
        bool const is_known_suspect =
            m_quarantine.is_suspect(attempt.fingerprint);
        record_suspect(attempt,
                       assess_evidence(attempt.is_early,
                                       any_early,
                                       is_alone || is_known_suspect));
    }
}

std::vector<broken_attempt> core::extract_broken(index engine_index)
{
    std::vector<broken_attempt> matching;
    std::vector<broken_attempt> others;
    for (broken_attempt const& attempt : m_broken_attempts) {
        if (m_now - attempt.at > crash_window) {
            continue;
        }
        (attempt.engine == engine_index ? matching : others).push_back(attempt);
    }
    m_broken_attempts = std::move(others);
    return matching;
}

void core::record_suspect(broken_attempt const& attempt,
                          crash_evidence evidence)
{
    if (evidence == crash_evidence::none) {
        return;
    }
    std::uint64_t const fingerprint = attempt.fingerprint;
    bool const is_strong = evidence == crash_evidence::strong;
    if (m_quarantine.record_crash(
            fingerprint, attempt.engine, is_strong, m_now)) {
        m_out->emplace_back(quarantine_request{
            fingerprint,
            m_now + m_quarantine.remaining(fingerprint, m_now),
            "second_crash"});
    }
    entry* const waiting = find(attempt.id);
    if (waiting == nullptr || !m_quarantine.is_suspect(fingerprint)) {
        return;
    }
    if (waiting->phase == phase::queued) {
        dequeue(*waiting);
        waiting->suspect = true;
        if (!refuse_quarantined(*waiting)) {
            enqueue(*waiting);
        }
    } else if (waiting->phase == phase::running && !waiting->suspect) {
        // Already dispatched again before its engine was known to be lost.
        waiting->suspect = true;
        ++m_engines.at(waiting->upstream).suspects;
    }
}

void core::check_engine_health(index engine_index)
{
    engine_state& engine = m_engines.at(engine_index);
    if (engine.health == engine_health::probing) {
        if (++engine.good_probes >= min_good_probes) {
            engine.health = engine_health::good;
            m_out->emplace_back(readmit_engine{engine.name, "probes_good"});
            m_engines.refresh(engine_index, m_now);
        }
        return;
    }
    if (m_outliers.is_outlier(m_engines, engine_index, m_now)) {
        eject(engine_index);
    }
}

void core::eject(index engine_index)
{
    engine_state& engine = m_engines.at(engine_index);
    engine.health = engine_health::ejected;
    engine.probe_at = m_now + outlier_detector::next_penalty(engine);
    engine.gap_ms.reset();
    m_out->emplace_back(
        eject_engine{engine.name, engine.probe_at, "slow_against_peers"});
    m_engines.refresh(engine_index, m_now);
}

void core::poll_engines()
{
    std::size_t const count = std::min(m_engines.size(), engines_per_tick);
    for (std::size_t checked = 0; checked < count; ++checked) {
        m_next_polled_engine = (m_next_polled_engine + 1) % m_engines.size();
        auto const engine_index = static_cast<index>(m_next_polled_engine);
        start_probing(engine_index);
        m_engines.renew_allowance(engine_index, m_position, m_now);
        dispatch_for_engine(engine_index);
    }
}

void core::start_probing(index engine_index)
{
    engine_state& engine = m_engines.at(engine_index);
    bool const is_out = engine.health == engine_health::ejected
                        || engine.health == engine_health::lost;
    if (is_out && m_now >= engine.probe_at) {
        engine.health = engine_health::probing;
        engine.good_probes = 0;
    }
}

void core::dispatch_for_engine(index engine_index)
{
    for (index const group : m_engines.at(engine_index).groups) {
        if (m_engines.groups()[group].queue.size() > 0) {
            dispatch_queued(group);
        }
    }
}

model::milliseconds core::min_inter_token_target(index /*group*/) const
{
    model::milliseconds min_target = model::milliseconds::max();
    for (index class_id = 0; class_id < m_class_last_seen.size(); ++class_id) {
        if (m_now - m_class_last_seen[class_id] < class_idle_timeout) {
            min_target = std::min(min_target,
                                  m_policy.rules(class_id).inter_token_target);
        }
    }
    return min_target;
}

} // namespace caperjunction::decide
