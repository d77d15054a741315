#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Engines sorted anew in one tick: all of today's; at 10,000 each comes round
// within seconds, and its own events sort it in between.
constexpr std::size_t engines_a_tick = 32;
// A process that went away takes seconds to come back; trying sooner only
// costs requests.
constexpr model::milliseconds first_absence{2000};
constexpr model::milliseconds longest_absence{30'000};
// Good answers after which an engine on probation is taken back.
constexpr std::uint32_t probes_needed = 3;
// An attempt that broke this long ago belongs to the same crash.
constexpr model::milliseconds same_crash{3000};
// A class that has been quiet for this long no longer bounds the batches.
constexpr model::milliseconds class_quiet{30'000};
constexpr double trust_after_gap = 0.6;

blame_weight weigh_blame(bool early, bool any_early, bool only_one)
{
    if (early || only_one) {
        return blame_weight::telling;
    }
    return any_early ? blame_weight::none : blame_weight::slight;
}

} // namespace

void core::on(engine_report const& happened)
{
    index const place = m_engines.find(happened.engine);
    if (place == no_index) {
        return;
    }
    engine_state& engine = m_engines.at(place);
    engine.report(happened);
    if (!happened.models.empty()) {
        m_engines.serve_models(
            place, happened.models, m_policy.shares(), m_now);
    }
    m_engines.refresh(place, m_now);
    drain_engine(place);
}

void core::on(cache_changed const& happened)
{
    index const place = m_engines.find(happened.engine);
    if (place == no_index) {
        return;
    }
    engine_state& engine = m_engines.at(place);
    // Lost events mean blocks that came or went unseen.
    if (engine.cache_sequence != 0
        && happened.sequence != engine.cache_sequence + 1) {
        engine.cache_trust *= trust_after_gap;
    }
    engine.cache_sequence = happened.sequence;
    for (std::uint64_t const block : happened.stored) {
        m_prefixes.store(block, place, m_now);
    }
    for (std::uint64_t const block : happened.evicted) {
        m_prefixes.evict(block, place);
    }
}

void core::on(engine_lost const& happened)
{
    index const place = m_engines.find(happened.engine);
    if (place == no_index) {
        return;
    }
    lose(place);
    blame(place);
}

void core::lose(index place)
{
    engine_state& engine = m_engines.at(place);
    if (engine.health == engine_health::lost) {
        return;
    }
    if (engine.health != engine_health::leaving) {
        engine.health = engine_health::lost;
        engine.penalty =
            std::clamp(engine.penalty * 2, first_absence, longest_absence);
        engine.probe_at = m_now + engine.penalty;
        engine.gap_ms.reset();
        m_out->emplace_back(
            eject_engine{engine.name, engine.probe_at, "engine_lost"});
    }
    // Its cache went with its memory.
    engine.cache_trust = 0.0;
    m_engines.refresh(place, m_now);
}

void core::blame(index place)
{
    // The cause most often strikes before its first token. Those that were
    // streaming are blamed less, and only if none here had just started: most
    // are innocent, and suspects wait for engines of their own. What is still
    // in flight is blamed once its own end says that it broke; if it turns out
    // to have found the engine gone, it had no part in this.
    engine_state const& engine = m_engines.at(place);
    std::vector<broken_attempt> const before = take_broken(place);
    std::size_t involved = before.size();
    bool any_early = std::any_of(before.begin(), before.end(), [](auto& one) {
        return one.early;
    });
    for (model::request_id const id : engine.flights) {
        entry const* const running = find(id);
        if (running != nullptr) {
            ++involved;
            any_early = any_early || running->attempt_tokens == 0;
        }
    }
    bool const alone = involved == 1 && engine.peer_requests == 0;
    for (model::request_id const id : engine.flights) {
        entry* const running = find(id);
        if (running != nullptr) {
            bool const early = running->attempt_tokens == 0;
            running->blame =
                weigh_blame(early, any_early, alone || running->suspect);
        }
    }
    for (broken_attempt const& one : before) {
        bool const known = m_quarantine.suspected(one.fingerprint);
        suspect(one, weigh_blame(one.early, any_early, alone || known));
    }
}

std::vector<broken_attempt> core::take_broken(index place)
{
    std::vector<broken_attempt> taken;
    std::vector<broken_attempt> kept;
    for (broken_attempt const& one : m_broken) {
        if (m_now - one.at > same_crash) {
            continue;
        }
        (one.engine == place ? taken : kept).push_back(one);
    }
    m_broken = std::move(kept);
    return taken;
}

void core::suspect(broken_attempt const& attempt, blame_weight weight)
{
    if (weight == blame_weight::none) {
        return;
    }
    std::uint64_t const fingerprint = attempt.fingerprint;
    bool const telling = weight == blame_weight::telling;
    if (m_quarantine.crashed(fingerprint, attempt.engine, telling, m_now)) {
        m_out->emplace_back(quarantine_request{
            fingerprint,
            m_now + m_quarantine.remaining(fingerprint, m_now),
            "second_crash"});
    }
    entry* const waiting = find(attempt.id);
    if (waiting == nullptr || !m_quarantine.suspected(fingerprint)) {
        return;
    }
    if (waiting->phase == phase::queued) {
        dequeue(*waiting);
        waiting->suspect = true;
        if (!refuse_quarantined(*waiting)) {
            enqueue(*waiting);
        }
    } else if (waiting->phase == phase::running && !waiting->suspect) {
        // Already sent on, before its engine was known to be lost.
        waiting->suspect = true;
        ++m_engines.at(waiting->upstream).suspects;
    }
}

void core::judge(index place)
{
    engine_state& engine = m_engines.at(place);
    if (engine.health == engine_health::probing) {
        if (++engine.probes >= probes_needed) {
            engine.health = engine_health::good;
            m_out->emplace_back(readmit_engine{engine.name, "probes_good"});
            m_engines.refresh(place, m_now);
        }
        return;
    }
    if (m_outliers.slow(m_engines, place, m_now)) {
        eject(place);
    }
}

void core::eject(index place)
{
    engine_state& engine = m_engines.at(place);
    engine.health = engine_health::ejected;
    engine.probe_at = m_now + outlier_detector::penalty(engine);
    engine.gap_ms.reset();
    m_out->emplace_back(
        eject_engine{engine.name, engine.probe_at, "slow_against_peers"});
    m_engines.refresh(place, m_now);
}

void core::revisit_engines()
{
    std::size_t const count = std::min(m_engines.size(), engines_a_tick);
    for (std::size_t looked = 0; looked < count; ++looked) {
        m_next_engine = (m_next_engine + 1) % m_engines.size();
        auto const place = static_cast<index>(m_next_engine);
        probe(place);
        m_engines.renew_allowance(place, m_position, m_now);
        drain_engine(place);
    }
}

void core::probe(index place)
{
    engine_state& engine = m_engines.at(place);
    bool const out = engine.health == engine_health::ejected
                     || engine.health == engine_health::lost;
    if (out && m_now >= engine.probe_at) {
        engine.health = engine_health::probing;
        engine.probes = 0;
    }
}

void core::drain_engine(index place)
{
    for (index const group : m_engines.at(place).groups) {
        if (m_engines.groups()[group].queue.size() > 0) {
            drain(group);
        }
    }
}

model::milliseconds core::tightest_gap(index /*group*/) const
{
    model::milliseconds tightest = model::milliseconds::max();
    for (index place = 0; place < m_class_seen.size(); ++place) {
        if (m_now - m_class_seen[place] < class_quiet) {
            tightest = std::min(tightest, m_policy.rules(place).between_tokens);
        }
    }
    return tightest;
}

} // namespace caperjunction::decide
