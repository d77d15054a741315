#include "proxy/exchange.hpp"
#include "proxy/part_crashes.hpp"

#include "routing/request_key.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::part_judgement;

/// Longer than a trial without a result holds up others.
constexpr model::milliseconds max_verdict_wait{1'500};
/// Time after which a request that waits is judged again. It differs between
/// requests: others should hear of the first one that goes on.
constexpr std::uint64_t min_verdict_poll_ms = 20;
constexpr std::uint64_t verdict_poll_spread_ms = 150;

} // namespace

std::uint64_t exchange::request_key()
{
    if (!m_request_key) {
        routing::repeated_request repeated;
        repeated.method = m_head.method;
        repeated.authority = m_metadata.authority;
        repeated.target = m_head.target;
        repeated.caller =
            m_team.empty() ? m_metadata.key : std::string_view(m_team);
        repeated.body = m_body;
        m_request_key = routing::request_key(repeated);
    }
    return *m_request_key;
}

routing::shared_part exchange::whole_request()
{
    return {routing::software_service_key(m_service),
            request_key(),
            routing::part_kind::request};
}

// Sorted: its whole comes last.
std::vector<routing::shared_part> const& exchange::shared_parts()
{
    if (!m_shared_parts) {
        m_shared_parts = routing::shared_parts_of(
            m_metadata.prompt, routing::software_service_key(m_service));
        m_shared_parts->push_back(whole_request());
    }
    return *m_shared_parts;
}

/// Whether nothing is known that could speak against a part of it.
bool exchange::are_parts_free() const
{
    return !m_was_broken && !m_context.parts.has_evidence();
}

part_judgement exchange::judge_parts(routing::software const& at)
{
    if (are_parts_free()) {
        return part_judgement::free;
    }
    return m_context.parts.judge(
        shared_parts(), at.version, m_was_broken, m_context.loop.now());
}

std::vector<routing::software> exchange::kept_from()
{
    std::vector<routing::software> list;
    if (are_parts_free()) {
        return list;
    }
    for (routing::software const& at :
         m_context.directory.software_of_service(m_service)) {
        if (judge_parts(at) == part_judgement::kept_back) {
            list.push_back(at);
        }
    }
    return list;
}

/// Whether the request may run at no version of its service.
bool exchange::is_kept_back()
{
    auto const all = m_context.directory.software_of_service(m_service);
    return !all.empty() && kept_from().size() == all.size();
}

/// Whether each version that it may run at has another trial now.
bool exchange::awaits_verdict()
{
    auto const all = m_context.directory.software_of_service(m_service);
    bool awaits = false;
    for (routing::software const& at : all) {
        part_judgement const judged = judge_parts(at);
        if (judged == part_judgement::free || judged == part_judgement::trial) {
            return false;
        }
        awaits = awaits || judged == part_judgement::awaits_trial;
    }
    return awaits;
}

/// Calls `then` after `delay` unless the request has ended by then.
void exchange::run_later(model::milliseconds delay,
                         std::function<void()> const& then)
{
    m_wait_timer = m_context.loop.after(delay, [weak = weak_from_this(), then] {
        auto const self = weak.lock();
        if (self && !self->m_ended) {
            then();
        }
    });
}

// A sound request goes on as soon as the trial has been answered.
void exchange::wait_for_verdict(std::function<void()> const& then)
{
    auto const now = m_context.loop.now();
    if (!m_trial.waits_since) {
        m_trial.waits_since = now;
    }
    if (now - *m_trial.waits_since >= max_verdict_wait
        || m_context.is_stopping) {
        refuse_for_parts();
        return;
    }
    std::uint64_t const spread =
        XXH3_64bits_withSeed(
            m_metadata.id.data(),
            m_metadata.id.size(),
            static_cast<std::uint64_t>(now.time_since_epoch().count()))
        % verdict_poll_spread_ms;
    run_later(model::milliseconds(min_verdict_poll_ms + spread), then);
}

/// Whether it is kept back as a whole, rather than for a part that others have
/// as well.
bool exchange::is_quarantined()
{
    auto const all = m_context.directory.software_of_service(m_service);
    return std::any_of(all.begin(), all.end(), [this](auto const& at) {
        return m_context.parts.judge(
                   {whole_request()}, at.version, false, m_context.loop.now())
               == part_judgement::kept_back;
    });
}

void exchange::refuse_for_parts()
{
    bool const is_kept_back = !kept_from().empty();
    for (routing::software const& at :
         m_context.directory.software_of_service(m_service)) {
        m_report.refused_parts = m_context.parts.suspects_among(
            shared_parts(), at.version, m_was_broken);
    }
    m_context.parts.record_kept_back(shared_parts(), m_context.loop.now());
    if (!is_kept_back) {
        refuse(reason_code::part_on_trial);
        return;
    }
    refuse(is_quarantined() ? reason_code::quarantined
                            : reason_code::part_kept_back);
}

void exchange::record_broken_parts()
{
    bool const has_written = since_head() >= crash_delay;
    if (has_written) {
        return;
    }
    m_was_broken = true;
    m_is_break_recorded = true;
    broken_attempt attempt = current_attempt();
    attempt.tried = std::exchange(m_trial.parts, {});
    m_trial.claim = 0;
    record_broken_attempt(m_context, attempt);
}

broken_attempt exchange::current_attempt()
{
    broken_attempt attempt;
    attempt.upstream = m_upstream;
    attempt.peer = m_connection->peer();
    attempt.parts = shared_parts();
    attempt.sent_at = m_sent_at;
    attempt.has_begun = m_head_at.has_value();
    attempt.has_connected = m_has_connected;
    return attempt;
}

void exchange::record_unanswered()
{
    if (!m_has_received && !m_is_break_recorded && m_connection->has_sent()) {
        m_context.unanswered.record(current_attempt(), m_context.loop.now());
    }
}

void exchange::record_written_parts()
{
    if (!m_has_cleared_parts && since_head() >= crash_delay) {
        record_answered_parts();
    }
}

void exchange::record_answered_parts()
{
    // Without evidence, only parts of prompts are remembered.
    bool const has_news =
        !m_metadata.prompt.parts.empty() || m_context.parts.has_evidence();
    if (m_has_cleared_parts || !has_news) {
        return;
    }
    m_has_cleared_parts = true;
    proxy::record_answered_parts(
        m_context, shared_parts(), m_upstream->software.version, *m_head_at);
}

} // namespace caperjunction::proxy
