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
    // What is in flight ends as broken by events of its own; what broke just
    // before was part of the same crash. The cause most often strikes before
    // its first token. Those that were streaming are blamed only if nothing
    // else was there: they would have to wait for engines of their own, and
    // most are innocent.
    for (model::request_id const id : m_engines.at(place).flights) {
        entry* const running = find(id);
        if (running != nullptr && running->phase == phase::running) {
            m_broken.push_back({id,
                                running->fingerprint,
                                place,
                                m_now,
                                running->attempt_tokens == 0});
        }
    }
    std::vector<broken_attempt> here;
    bool any_early = false;
    for (broken_attempt const& one : m_broken) {
        if (one.engine == place && m_now - one.at <= same_crash) {
            here.push_back(one);
            any_early = any_early || one.early;
        }
    }
    m_broken.erase(std::remove_if(m_broken.begin(),
                                  m_broken.end(),
                                  [&](broken_attempt const& one) {
                                      return one.engine == place
                                             || m_now - one.at > same_crash;
                                  }),
                   m_broken.end());
    for (broken_attempt const& one : here) {
        if (one.early || !any_early) {
            suspect(one.id, one.fingerprint, place);
        }
    }
}

void core::suspect(model::request_id id,
                   std::uint64_t fingerprint,
                   index engine)
{
    bool const caught = m_quarantine.crashed(fingerprint, m_now);
    if (caught) {
        m_out->emplace_back(quarantine_request{
            fingerprint,
            m_now + m_quarantine.remaining(fingerprint, m_now),
            "second_crash"});
    }
    entry* const waiting = find(id);
    if (waiting == nullptr) {
        return;
    }
    if (waiting->phase == phase::running) {
        if (waiting->upstream == engine) {
            waiting->blamed = true;
            return;
        }
        // Already sent on, before its engine was known to be lost.
        if (!waiting->suspect && !waiting->is_service) {
            waiting->suspect = true;
            ++m_engines.at(waiting->upstream).suspects;
        }
        return;
    }
    if (waiting->phase == phase::queued) {
        dequeue(*waiting);
        waiting->suspect = true;
        if (!refuse_quarantined(*waiting)) {
            enqueue(*waiting);
        }
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
