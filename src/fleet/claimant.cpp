#include "fleet/claimant.hpp"

#include "fleet/claim_retry.hpp"

namespace caperjunction::fleet {

claimant::claimant(std::string host,
                   std::uint64_t generation,
                   claim_settings const& settings)
    : m_host(std::move(host))
    , m_generation(generation)
    , m_settings(settings)
    , m_pause_detector(settings.pause_limit)
{
}

void claimant::handle(claimant_event const& event,
                      model::time_point now,
                      std::vector<claim_decision>& out)
{
    // State from before a pause must neither start a claim nor answer "not
    // run": another host may have run the call meanwhile.
    if (m_pause_detector.record_wakeup(now)) {
        m_last_pause_end = now;
    }
    std::visit(
        [&](auto const& alternative) {
            on_event(alternative, now, out);
        },
        event);
}

void claimant::on_event(claim_view_listed const& event,
                        model::time_point /*now*/,
                        decisions& /*out*/)
{
    if (m_view == nullptr || event.view->revision() > m_view->revision()) {
        m_view = event.view;
    }
}

void claimant::on_event(claim_view_confirmed const& event,
                        model::time_point /*now*/,
                        decisions& /*out*/)
{
    if (event.as_of >= m_last_pause_end) {
        m_pause_detector.mark_refreshed();
    }
}

void claimant::on_event(claim_started const& event,
                        model::time_point now,
                        decisions& out)
{
    if (answer_resend(event, out)) {
        return;
    }
    if (m_view == nullptr || !m_pause_detector.is_current()) {
        out.push_back(claim_unknown{
            event.ticket, retry_no_quorum, "the list of hosts is outdated"});
        return;
    }
    claim_call& call = m_calls[event.key];
    call.number = ++m_attempts;
    call.ticket = event.ticket;
    call.fingerprint = event.fingerprint;
    call.started = now;
    auto const bucket = claim_bucket(event.key, m_settings.buckets);
    call.witnesses = m_view->witnesses(bucket);
    send_requests(event.key, call, now, out);
    evaluate_votes(event.key, out);
}

bool claimant::answer_resend(claim_started const& event, decisions& out) const
{
    auto const call = m_calls.find(event.key);
    auto const finished = m_finished.find(event.key);
    if (call == m_calls.end() && finished == m_finished.end()) {
        return false;
    }
    bool const is_active = call != m_calls.end();
    auto const fingerprint =
        is_active ? call->second.fingerprint : finished->second.fingerprint;
    if (fingerprint != event.fingerprint) {
        out.push_back(claim_mismatch{event.ticket});
    } else if (is_active) {
        out.push_back(claim_unknown{event.ticket,
                                    retry_running,
                                    "the first copy is still running",
                                    m_host,
                                    event.key,
                                    attempt_of(call->second)});
    } else {
        claim_attempt const attempt{
            m_host, m_generation, finished->second.number};
        out.push_back(
            claim_fetch_answer{event.ticket, m_host, event.key, attempt});
    }
    return true;
}

void claimant::on_event(claim_ended const& event,
                        model::time_point now,
                        decisions& out)
{
    auto const found = m_calls.find(event.key);
    if (found == m_calls.end()
        || found->second.phase == claim_phase::requesting) {
        return;
    }
    if (event.outcome == model::outcome::not_run) {
        end_undispatched(event.key, now, "it was not dispatched", out);
        return;
    }
    claim_done const done{event.key, attempt_of(found->second)};
    for (auto const& name : found->second.witnesses) {
        out.push_back(claim_send{name, done});
    }
    m_finished[event.key] = {found->second.number, found->second.fingerprint};
    m_finished_until.emplace_back(now + m_settings.retention, event.key);
    m_calls.erase(found);
}

void claimant::on_event(claim_received const& event,
                        model::time_point /*now*/,
                        decisions& out)
{
    if (auto const* reply = std::get_if<claim_reply>(&event.message)) {
        on_reply(event.from, *reply, out);
    } else if (auto const* query = std::get_if<claim_query>(&event.message)) {
        on_query(*query, out);
    }
}

void claimant::on_event(claim_tick const& /*event*/,
                        model::time_point now,
                        decisions& out)
{
    std::vector<claim_key> timed_out;
    std::vector<claim_key> expired;
    for (auto& [key, call] : m_calls) {
        bool const is_requesting = call.phase == claim_phase::requesting;
        if (is_requesting && now - call.started > m_settings.claim_timeout) {
            timed_out.push_back(key);
        } else if (is_requesting
                   && now - call.last_request >= m_settings.resend_after) {
            send_requests(key, call, now, out);
        } else if (call.phase == claim_phase::granted
                   && now - call.started > m_settings.grant_lease) {
            expired.push_back(key);
        }
    }
    for (auto const& key : timed_out) {
        abandon(key, out);
    }
    for (auto const& key : expired) {
        end_undispatched(key, now, "it waited longer than its claim", out);
    }
    while (!m_finished_until.empty() && m_finished_until.front().first <= now) {
        m_finished.erase(m_finished_until.front().second);
        m_finished_until.pop_front();
    }
}

bool claimant::begin_dispatch(claim_key key, model::time_point now)
{
    // The process may have been paused after it reached a quorum, until the
    // witnesses expired the claim and another host ran the call. The caller
    // would be charged twice, and the logs of both hosts would show a dispatch.
    // The lease ends long before the witnesses' retention time, and it starts
    // before the witnesses receive the claim.
    bool const was_paused = m_pause_detector.record_wakeup(now);
    m_last_pause_end = was_paused ? now : m_last_pause_end;
    auto const found = m_calls.find(key);
    if (found == m_calls.end() || found->second.phase != claim_phase::granted
        || now - found->second.started > m_settings.grant_lease
        || !m_pause_detector.is_current()) {
        return false;
    }
    found->second.phase = claim_phase::dispatched;
    return true;
}

std::optional<claim_attempt> claimant::running_attempt(claim_key key) const
{
    auto const found = m_calls.find(key);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    return attempt_of(found->second);
}

bool claimant::active(claim_key key) const
{
    return m_calls.find(key) != m_calls.end();
}

} // namespace caperjunction::fleet
