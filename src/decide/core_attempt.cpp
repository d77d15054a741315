#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Attempts of one request. Beyond these, what fails is most likely the
// request or the whole fleet, and a further try only adds load.
constexpr std::uint32_t most_broken_attempts = 5;
// Those that were not run cost nobody anything but time.
constexpr std::uint32_t most_attempts = 12;
// Broken attempts remembered until it shows whether the engine was lost.
constexpr std::size_t most_broken = 512;
// An answer beyond its expected length is expected to be longer yet by this
// part, so that it isn't charged anew with each token.
constexpr std::uint32_t overrun_part = 4;

} // namespace

void core::on(tokens_relayed const& happened)
{
    entry* const running = find(happened.id);
    if (running == nullptr || running->phase != phase::running
        || happened.tokens == 0) {
        return;
    }
    if (running->is_service) {
        running->relayed += happened.tokens;
        return;
    }
    memory_forecast& memory = m_engines.groups()[running->group].memory;
    memory.remove(*running);
    running->relayed += happened.tokens;
    running->attempt_tokens += happened.tokens;
    charge_overrun(*running);
    memory.add(*running);
    engine_state& engine = m_engines.at(running->upstream);
    if (running->first_token == model::time_point{}) {
        running->first_token = m_now;
        engine.first_token(running->prefill);
        running->prefill = 0.0;
    } else {
        model::seconds const gap =
            (m_now - running->last_token) / happened.tokens;
        engine.between_tokens(gap, tightest_gap(running->group), m_now);
        judge(running->upstream);
    }
    running->last_token = m_now;
    index const place = running->upstream;
    m_engines.refresh(place, m_now);
    drain_engine(place);
}

void core::on(attempt_ended const& happened)
{
    entry* const running = find(happened.id);
    if (running == nullptr || running->phase != phase::running) {
        return;
    }
    index const place = running->upstream;
    bool const is_service = running->is_service;
    std::string const& name =
        is_service ? m_services.name(place) : m_engines.at(place).name;
    if (name != happened.upstream) {
        return;
    }
    release(*running);
    running->relayed = std::max(running->relayed, happened.relayed_tokens);
    switch (happened.end) {
    case attempt_end::complete:
        end_whole(*running, happened);
        break;
    case attempt_end::unreachable:
        if (!is_service) {
            // Nobody may have been there to tell that the engine went away;
            // without this each retry finds it the emptiest of all.
            lose(place);
        }
        end_not_run(*running, place);
        break;
    case attempt_end::refused:
        end_not_run(*running, place);
        break;
    case attempt_end::broken:
        end_broken(*running, place);
        break;
    case attempt_end::failed:
        running->may_have_run = true;
        refuse_request(*running,
                       model::error_kind::upstream_failed,
                       model::milliseconds{1000},
                       "upstream_error",
                       "read the upstream's error and change the request");
        break;
    case attempt_end::cancelled:
        finish(*running);
        break;
    }
    if (!is_service) {
        drain_engine(place);
    }
}

void core::on(request_cancelled const& happened)
{
    entry* const gone = find(happened.id);
    if (gone == nullptr) {
        return;
    }
    if (gone->phase == phase::queued) {
        dequeue(*gone);
        finish(*gone);
        return;
    }
    if (gone->phase == phase::handed_over) {
        m_expiries.erase({gone->expires, gone->id});
        finish(*gone);
        return;
    }
    // Nobody reads the answer any more: each further token would be waste.
    index const place = gone->upstream;
    bool const is_service = gone->is_service;
    m_out->emplace_back(cancel_attempt{gone->id,
                                       is_service ? m_services.name(place)
                                                  : m_engines.at(place).name,
                                       "caller_left"});
    release(*gone);
    finish(*gone);
    if (!is_service) {
        drain_engine(place);
    }
}

void core::release(entry& running)
{
    if (running.is_service) {
        m_services.ended(running.upstream);
        return;
    }
    engine_state& engine = m_engines.at(running.upstream);
    engine.ended(running.id, running.prefill, m_now);
    running.prefill = 0.0;
    if (running.suspect && engine.suspects > 0) {
        --engine.suspects;
        m_quarantine.running(running.fingerprint, 0);
    }
    m_engines.groups()[running.group].memory.remove(running);
    m_engines.groups()[running.group].waits.ended(
        std::chrono::duration_cast<model::milliseconds>(m_now
                                                        - running.dispatched));
    m_engines.refresh(running.upstream, m_now);
}

void core::charge_overrun(entry& running)
{
    // Charged as the tokens come: otherwise a team whose answers turn out
    // long would get them at a short one's price until each has ended.
    if (running.relayed > running.expected_output) {
        if (!running.overran) {
            running.overran = true;
            m_lengths.passed(
                running.class_place,
                running.expected_output,
                m_policy.rules(running.class_place).max_output_tokens);
        }
        expect_output(running,
                      running.relayed + running.relayed / overrun_part);
    }
}

void core::expect_output(entry& running, std::uint32_t tokens)
{
    double const before = token_cost(running);
    running.expected_output = tokens;
    m_engines.groups()[running.group].queue.correct(
        running.tier, running.team, token_cost(running) - before);
}

void core::end_whole(entry& running, attempt_ended const& happened)
{
    if (!running.is_service) {
        engine_state& engine = m_engines.at(running.upstream);
        if (running.attempt == 1 && running.first_token > running.dispatched) {
            double const computed =
                static_cast<double>(running.prompt_tokens)
                - std::min(running.prompt_tokens, happened.cached_tokens);
            m_engines.groups()[running.group].prefill.observe(
                computed, running.first_token - running.dispatched);
        }
        if (!running.prefix_blocks.empty() && running.attempt == 1) {
            // What the engine found in its cache tells how far the index can
            // be trusted with this engine.
            double const found = happened.cached_tokens > 0 ? 1.0 : 0.5;
            engine.cache_trust += (found - engine.cache_trust) * 0.05;
        }
        if (!running.overran) {
            m_lengths.ended(
                running.class_place,
                running.relayed,
                m_policy.rules(running.class_place).max_output_tokens);
        }
        expect_output(running, running.relayed);
    }
    if (running.suspect) {
        m_quarantine.cleared(running.fingerprint);
    }
    finish(running);
}

void core::end_not_run(entry& running, index upstream)
{
    // No byte was handed over, or the upstream said that it won't run it:
    // the only ends after which also work that may run once can go on. A
    // service call still gets one attempt only, since its claim is spent.
    if (running.is_service && !running.repeatable) {
        refuse_request(running,
                       model::error_kind::unavailable,
                       model::milliseconds{1000},
                       "instance_unreachable",
                       "send it again after the time in Retry-After");
        return;
    }
    try_again(running, upstream, "not_run_there");
}

void core::note_broken(entry& running, index upstream)
{
    broken_attempt const attempt{running.id,
                                 running.fingerprint,
                                 upstream,
                                 m_now,
                                 running.attempt_tokens == 0};
    if (running.blame != blame_weight::none) {
        // Its engine was reported lost before its own end came.
        running.phase = phase::ended;
        suspect(attempt, running.blame);
        running.suspect = m_quarantine.suspected(running.fingerprint);
        return;
    }
    if (m_broken.size() >= most_broken) {
        m_broken.erase(m_broken.begin());
    }
    m_broken.push_back(attempt);
}

void core::end_broken(entry& running, index upstream)
{
    running.may_have_run = true;
    ++running.broken;
    if (!running.is_service) {
        note_broken(running, upstream);
    }
    if (!running.repeatable) {
        // It may have run. A second run could charge a client twice, so the
        // caller is told that nobody knows.
        refuse_request(running,
                       model::error_kind::upstream_failed,
                       model::milliseconds{1000},
                       "broken_midway",
                       "look up whether it took effect before sending it anew");
        return;
    }
    try_again(running, upstream, "broken");
}

void core::try_again(entry& waiting, index avoided, std::string const& reason)
{
    if (refuse_quarantined(waiting)) {
        return;
    }
    if (waiting.broken >= most_broken_attempts
        || waiting.attempt >= most_attempts
        || !m_retries[waiting.class_place].try_take(m_now)) {
        refuse_request(waiting,
                       model::error_kind::upstream_failed,
                       model::milliseconds{1000},
                       reason + "_too_often",
                       "send it again after the time in Retry-After");
        return;
    }
    waiting.avoided = avoided;
    waiting.upstream = no_index;
    waiting.blame = blame_weight::none;
    if (waiting.is_service) {
        start_service(waiting);
        return;
    }
    class_rules const& rules = m_policy.rules(waiting.class_place);
    // Its caller has waited already and may hold a part of the answer: it
    // keeps its place in the order and gets the longest wait anew.
    waiting.expires = m_now + rules.max_wait;
    enqueue(waiting);
    index const group = waiting.group;
    drain(group);
}

} // namespace caperjunction::decide
