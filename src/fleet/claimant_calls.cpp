#include "fleet/claim_retry.hpp"
#include "fleet/claim_tally.hpp"
#include "fleet/claimant.hpp"

#include <utility>

namespace caperjunction::fleet {

void claimant::on_reply(std::string const& from,
                        claim_reply const& reply,
                        decisions& out)
{
    auto const found = m_calls.find(reply.key);
    if (found == m_calls.end() || attempt_of(found->second) != reply.attempt) {
        on_late_grant(from, reply, out);
        return;
    }
    claim_call& call = found->second;
    if (call.phase == claim_phase::requesting) {
        call.replies[from] = reply;
        evaluate_votes(reply.key, out);
    }
}

// A delayed request was granted after its attempt had ended. Without a release
// the key would be blocked for one retention time.
void claimant::on_late_grant(std::string const& from,
                             claim_reply const& reply,
                             decisions& out) const
{
    if (reply.status == claim_status::granted) {
        notify_witnesses(reply.key, reply.attempt, {from}, out);
    }
}

void claimant::on_query(claim_query const& query, decisions& out) const
{
    auto const call = m_calls.find(query.key);
    bool const is_active =
        call != m_calls.end() && attempt_of(call->second) == query.attempt;
    if (!is_active && m_view != nullptr) {
        auto const bucket = claim_bucket(query.key, m_settings.buckets);
        notify_witnesses(
            query.key, query.attempt, m_view->witnesses(bucket), out);
    }
}

// Notifies witnesses how an attempt of this process ended. The outcome of an
// earlier process's attempt is unknown: its calls may have run.
//
// \pre the attempt is not active.
void claimant::notify_witnesses(claim_key key,
                                claim_attempt const& attempt,
                                std::vector<std::string> const& witnesses,
                                decisions& out) const
{
    if (attempt.host != m_host || attempt.generation != m_generation) {
        return;
    }
    auto const finished = m_finished.find(key);
    bool const done = finished != m_finished.end()
                      && finished->second.number == attempt.number;
    for (auto const& name : witnesses) {
        claim_message const message =
            done ? claim_message(claim_done{key, attempt})
                 : claim_message(claim_release{key, attempt});
        out.push_back(claim_send{name, message});
    }
}

void claimant::send_requests(claim_key key,
                             claim_call& call,
                             model::time_point now,
                             decisions& out) const
{
    call.last_request = now;
    claim_request request;
    request.key = key;
    request.attempt = attempt_of(call);
    request.fingerprint = call.fingerprint;
    request.list_revision = m_view->revision();
    for (auto const& name : call.witnesses) {
        auto const reply = call.replies.find(name);
        bool const needs_request =
            reply == call.replies.end()
            || reply->second.status == claim_status::refused;
        if (needs_request) {
            out.push_back(claim_send{name, request});
        }
    }
}

void claimant::evaluate_votes(claim_key key, decisions& out)
{
    claim_call& call = m_calls.at(key);
    claim_tally const tally = count_votes(call, m_settings);
    if (tally.votes >= tally.quorum) {
        call.phase = claim_phase::granted;
        out.push_back(
            claim_proceed{call.ticket, call.started + m_settings.grant_lease});
    } else if (tally.votes + tally.pending < tally.quorum) {
        abandon(key, out);
    }
}

// Without a quorum this host can't know whether another host's attempt has run
// the call. The answer is therefore never `not-run`.
void claimant::abandon(claim_key key, decisions& out)
{
    claim_call const call = std::move(m_calls.at(key));
    m_calls.erase(key);
    notify_witnesses(key, attempt_of(call), call.witnesses, out);
    claim_reply const* holder = find_holder(call);
    if (holder == nullptr) {
        out.push_back(claim_unknown{
            call.ticket, retry_no_quorum, "too few witnesses answered"});
    } else if (holder->holder_fingerprint != call.fingerprint) {
        out.push_back(claim_mismatch{call.ticket});
    } else if (holder->holder_state == claim_state::done) {
        out.push_back(claim_fetch_answer{
            call.ticket, holder->holder.host, key, holder->holder});
    } else {
        out.push_back(
            claim_send{holder->holder.host, claim_query{key, holder->holder}});
        out.push_back(claim_unknown{call.ticket,
                                    retry_running,
                                    "another copy holds the claim",
                                    holder->holder.host,
                                    key,
                                    holder->holder});
    }
}

// This attempt held the claim and was never dispatched. While the witnesses
// store the claim, no other host can have dispatched the call, so the answer
// `not-run` is certain.
void claimant::end_undispatched(claim_key key,
                                model::time_point now,
                                std::string reason,
                                decisions& out)
{
    claim_call const call = std::move(m_calls.at(key));
    m_calls.erase(key);
    bool const certain =
        m_pause_detector.is_current()
        && now - call.started < m_settings.retention - m_settings.grant_lease;
    if (certain) {
        out.push_back(
            claim_not_run{call.ticket, retry_no_quorum, std::move(reason)});
    } else {
        out.push_back(
            claim_unknown{call.ticket, retry_no_quorum, std::move(reason)});
    }
    notify_witnesses(key, attempt_of(call), call.witnesses, out);
}

claim_attempt claimant::attempt_of(claim_call const& call) const
{
    return {m_host, m_generation, call.number};
}

} // namespace caperjunction::fleet
