#include "program/bookings.hpp"

#include "runtime/log_line.hpp"

namespace caperjunction::program {

void bookings::fetch(fleet::claim_fetch_answer const& wanted,
                     model::time_point now)
{
    auto const found = m_pending.find({wanted.ticket});
    if (found == m_pending.end()) {
        return;
    }
    found->second.fetch_until = now + fetch_timeout;
    found->second.no_answer_reason = "the first run's answer is not kept";
    found->second.no_answer_retry_after = fetch_retry_after;
    deliver(wanted.host,
            fleet::answer_query{wanted.key, wanted.attempt, wanted.ticket},
            now);
}

void bookings::resolve_unknown(fleet::claim_unknown const& unknown,
                               model::time_point now)
{
    auto const found = m_pending.find({unknown.ticket});
    if (found == m_pending.end() || unknown.holder_host.empty()) {
        refuse_unknown(unknown.ticket, unknown.retry_after, unknown.reason);
        return;
    }
    found->second.fetch_until = now + running_fetch_timeout;
    found->second.no_answer_reason = unknown.reason;
    found->second.no_answer_retry_after = unknown.retry_after;
    deliver(unknown.holder_host,
            fleet::answer_query{unknown.key, unknown.holder, unknown.ticket},
            now);
}

void bookings::send_answer(std::string const& to,
                           fleet::answer_query const& query,
                           model::time_point now)
{
    fleet::answer_reply reply;
    reply.key = query.key;
    reply.ticket = query.ticket;
    auto const* const stored = m_answers.find(query.key, query.attempt);
    if (stored != nullptr) {
        reply.found = true;
        reply.status = stored->status;
        reply.content_type = stored->content_type;
        reply.body = stored->body;
    }
    deliver(to, reply, now);
}

void bookings::handle_answer(fleet::answer_reply const& reply)
{
    auto const found = m_pending.find({reply.ticket});
    if (found == m_pending.end()) {
        return;
    }
    if (!reply.found) {
        refuse_unknown(reply.ticket,
                       found->second.no_answer_retry_after,
                       found->second.no_answer_reason);
        return;
    }
    found->second.fetch_until = {};
    runtime::log_line("booking_answered_again")
        .field("request", net::to_string({reply.ticket}));
    m_hooks.answer(net::replay_answer{{reply.ticket},
                                      static_cast<int>(reply.status),
                                      reply.content_type,
                                      reply.body});
}

void bookings::refuse(std::uint64_t ticket,
                      net::error_reply const& error,
                      model::outcome outcome)
{
    auto const found = m_pending.find({ticket});
    if (found == m_pending.end() || found->second.answered) {
        return;
    }
    found->second.answered = true;
    decide::refuse refusal;
    refusal.id = {ticket};
    refusal.kind = error.kind;
    refusal.outcome = outcome;
    refusal.retry_after = error.retry_after;
    refusal.reason = error.message;
    refusal.remedy = error.remedy;
    runtime::log_line("booking_refused")
        .field("request", net::to_string(refusal.id))
        .field("outcome", model::to_string(outcome))
        .field("reason", refusal.reason);
    m_hooks.answer(decide::decision(refusal));
}

void bookings::refuse_unknown(std::uint64_t ticket,
                              model::milliseconds retry_after,
                              std::string const& reason)
{
    refuse(ticket,
           {model::error_kind::unavailable,
            reason,
            "send it again with the same Idempotency-Key, which is safe, or "
            "ask the service whether it was booked",
            retry_after},
           model::outcome::unknown);
}

} // namespace caperjunction::program
