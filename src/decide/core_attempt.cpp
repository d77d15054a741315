#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// An answer beyond its expected length is expected to grow by one part in this
// number, so that it is not charged again for each token.
constexpr std::uint32_t overrun_divisor = 4;

} // namespace

void core::on(tokens_relayed const& input)
{
    entry* const running = find(input.id);
    if (running == nullptr || running->phase != phase::running
        || input.tokens == 0) {
        return;
    }
    if (running->is_service) {
        running->relayed += input.tokens;
        return;
    }
    memory_forecast& forecast = m_engines.groups()[running->group].kv_forecast;
    forecast.remove(*running);
    running->relayed += input.tokens;
    running->attempt_tokens += input.tokens;
    charge_overrun(*running);
    forecast.add(*running);
    engine_state& engine = m_engines.at(running->upstream);
    if (running->software == no_index) {
        running->software = engine.software;
    }
    if (running->first_token == model::time_point{}) {
        running->first_token = m_now;
        engine.record_first_token(running->pending_prefill_tokens);
        running->pending_prefill_tokens = 0.0;
    } else {
        model::seconds const gap = (m_now - running->last_token) / input.tokens;
        engine.record_token_gap(
            gap, min_inter_token_target(running->group), m_now);
        check_engine_health(running->upstream);
    }
    running->last_token = m_now;
    index const upstream = running->upstream;
    m_engines.refresh(upstream, m_now);
    dispatch_for_engine(upstream);
}

void core::on(attempt_ended const& input)
{
    entry* const running = find(input.id);
    if (running == nullptr || running->phase != phase::running) {
        return;
    }
    index const upstream = running->upstream;
    bool const is_service = running->is_service;
    std::string const& name =
        is_service ? m_services.name(upstream) : m_engines.at(upstream).name;
    if (name != input.upstream) {
        return;
    }
    release(*running);
    running->relayed = std::max(running->relayed, input.relayed_tokens);
    if (input.end != attempt_end::complete) {
        refund_undelivered(*running);
    }
    switch (input.end) {
    case attempt_end::complete:
        end_complete(*running, input);
        break;
    case attempt_end::unreachable:
        // No other attempt may be in flight to report that the upstream is
        // gone. Without this, it looks the least loaded to each retry.
        if (is_service) {
            m_services.record_unreachable(upstream, m_now);
        } else {
            mark_lost(upstream);
        }
        end_not_run(*running, upstream);
        break;
    case attempt_end::refused:
        if (input.retry_after.count() > 0) {
            pause_upstream(upstream, is_service, input.retry_after);
        }
        end_not_run(*running, upstream);
        break;
    case attempt_end::broken:
        end_broken(*running, upstream);
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
        dispatch_for_engine(upstream);
    }
}

void core::on(request_cancelled const& input)
{
    entry* const cancelled = find(input.id);
    if (cancelled == nullptr) {
        return;
    }
    if (cancelled->phase == phase::queued) {
        dequeue(*cancelled);
        finish(*cancelled);
        return;
    }
    if (cancelled->phase == phase::handed_over) {
        m_expiries.erase({cancelled->expires, cancelled->id});
        finish(*cancelled);
        return;
    }
    // Further tokens would be wasted: the caller is gone.
    index const upstream = cancelled->upstream;
    bool const is_service = cancelled->is_service;
    m_out->emplace_back(cancel_attempt{cancelled->id,
                                       is_service ? m_services.name(upstream)
                                                  : m_engines.at(upstream).name,
                                       "caller_left"});
    release(*cancelled);
    refund_undelivered(*cancelled);
    finish(*cancelled);
    if (!is_service) {
        dispatch_for_engine(upstream);
    }
}

void core::release(entry& running)
{
    if (running.is_service) {
        m_services.record_end(running.upstream);
        return;
    }
    engine_state& engine = m_engines.at(running.upstream);
    engine.record_end(running.id, running.pending_prefill_tokens, m_now);
    running.pending_prefill_tokens = 0.0;
    if (running.suspect && engine.suspects > 0) {
        --engine.suspects;
        m_quarantine.set_running_engine(running.fingerprint, 0);
    }
    m_engines.groups()[running.group].kv_forecast.remove(running);
    m_engines.groups()[running.group].waits.record_end(
        std::chrono::duration_cast<model::milliseconds>(m_now
                                                        - running.dispatched));
    m_engines.refresh(running.upstream, m_now);
}

void core::charge_overrun(entry& running)
{
    // Charged while tokens arrive. Otherwise a team with unexpectedly long
    // answers pays the price of short ones until they end.
    if (running.relayed > running.expected_output) {
        if (!running.overran) {
            running.overran = true;
            m_lengths.record_overrun(
                running.class_id,
                running.expected_output,
                m_policy.rules(running.class_id).max_output_tokens);
        }
        set_expected_output(
            running, running.relayed + running.relayed / overrun_divisor);
    }
}

void core::set_expected_output(entry& running, std::uint32_t tokens)
{
    double const before = token_cost(running);
    running.expected_output = tokens;
    if (running.is_charged) {
        m_engines.groups()[running.group].queue.adjust_charge(
            running.tier, running.team, token_cost(running) - before);
    }
}

void core::refund_undelivered(entry& ended)
{
    if (!ended.is_charged) {
        return;
    }
    ended.is_charged = false;
    double const expected = ended.expected_output;
    double const undelivered_output = std::max(0.0, expected - ended.relayed);
    double const undelivered_prompt =
        ended.attempt_tokens == 0 ? token_cost(ended) - expected : 0.0;
    m_engines.groups()[ended.group].queue.adjust_charge(
        ended.tier, ended.team, -undelivered_output - undelivered_prompt);
}

void core::end_complete(entry& running, attempt_ended const& input)
{
    if (!running.is_service) {
        engine_state& engine = m_engines.at(running.upstream);
        if (running.attempt == 1 && running.first_token > running.dispatched) {
            double const computed =
                static_cast<double>(running.prompt_tokens)
                - std::min(running.prompt_tokens, input.cached_tokens);
            m_engines.groups()[running.group].prefill_estimate.observe(
                computed, running.first_token - running.dispatched);
        }
        if (!running.prefix_blocks.empty() && running.attempt == 1) {
            // The cached tokens of an answer measure how accurate the index is
            // for this engine.
            double const found = input.cached_tokens > 0 ? 1.0 : 0.5;
            engine.cache_trust += (found - engine.cache_trust) * 0.05;
        }
        if (!running.overran) {
            m_lengths.record_completed(
                running.class_id,
                running.relayed,
                m_policy.rules(running.class_id).max_output_tokens);
        }
        set_expected_output(running, running.relayed);
    }
    if (running.suspect) {
        m_quarantine.clear(running.fingerprint);
    }
    finish(running);
}

} // namespace caperjunction::decide
