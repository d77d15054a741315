#include "program/bookings.hpp"

#include "net/caller_reply.hpp"
#include "runtime/log_line.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::program {
namespace {

// The relay gets a confirmed call within microseconds; if not, it slept.
constexpr model::milliseconds relay_limit{2'000};

bool names(model::host_list const& hosts, std::string const& name)
{
    return std::any_of(hosts.members.begin(),
                       hosts.members.end(),
                       [&name](model::host const& host) {
                           return host.name == name;
                       });
}

fleet::witness_settings witness_settings_of(booking_settings const& settings)
{
    fleet::witness_settings made;
    made.host = settings.host;
    made.generation = settings.generation;
    made.claims = settings.claims;
    made.first_fleet = settings.first_fleet;
    return made;
}

} // namespace

bookings::bookings(booking_settings settings, booking_hooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_claimant(m_settings.host, m_settings.generation, m_settings.claims)
    , m_witness(witness_settings_of(m_settings))
    , m_answers(m_settings.answer_bytes, m_settings.claims.retention)
{
}

void bookings::tell_claimant(fleet::claimant_event const& event,
                             model::time_point now)
{
    std::vector<fleet::claim_decision> decisions;
    m_claimant.handle(event, now, decisions);
    for (fleet::claim_decision const& made : decisions) {
        carry_out(made, now);
    }
}

void bookings::tell_witness(fleet::witness_event const& event,
                            model::time_point now)
{
    std::vector<fleet::claim_send> messages;
    m_witness.handle(event, now, messages);
    for (fleet::claim_send const& message : messages) {
        deliver(message.to, message.message, now);
    }
}

// A host is often a witness of its own calls.
void bookings::deliver(std::string const& to,
                       fleet::claim_message const& message,
                       model::time_point now)
{
    if (to == m_settings.host) {
        receive(m_settings.host, message, now);
    } else {
        m_hooks.send(to, message);
    }
}

void bookings::list(model::host_list const& hosts, model::time_point now)
{
    // A host may start before the platform lists it. By a list without
    // itself it would take the votes of the first fleet for given out, and
    // no booking would find a quorum until its memory has matured.
    m_listed = m_listed || names(hosts, m_settings.host);
    if (!m_listed) {
        return;
    }
    auto const view =
        std::make_shared<fleet::claim_view const>(hosts, m_settings.claims);
    tell_claimant(fleet::claim_view_listed{view}, now);
    tell_witness(fleet::claim_view_listed{view}, now);
}

void bookings::confirm(model::time_point as_of, model::time_point now)
{
    tell_claimant(fleet::claim_view_confirmed{as_of}, now);
    tell_witness(fleet::claim_view_confirmed{as_of}, now);
}

void bookings::arrive(net::booking_arrived const& arrived,
                      model::time_point now)
{
    decide::request const& request = arrived.request;
    fleet::claim_key const key =
        fleet::make_claim_key(request.customer, arrived.idempotency_key);
    m_waiting[request.id] = {request, key};
    tell_claimant(
        fleet::claim_started{key, request.fingerprint, request.id.value}, now);
}

void bookings::receive(std::string const& from,
                       fleet::claim_message const& message,
                       model::time_point now)
{
    if (auto const* query = std::get_if<fleet::answer_query>(&message)) {
        give_answer(from, *query, now);
    } else if (auto const* reply = std::get_if<fleet::answer_reply>(&message)) {
        take_answer(*reply);
    } else {
        tell_claimant(fleet::claim_received{from, message}, now);
        tell_witness(fleet::claim_received{from, message}, now);
    }
}

void bookings::note_restart(std::string const& host, model::time_point now)
{
    tell_witness(fleet::claim_host_restarted{host}, now);
}

void bookings::tick(model::time_point now)
{
    tell_claimant(fleet::claim_tick{}, now);
    tell_witness(fleet::claim_tick{}, now);
    m_answers.expire(now);
    for (auto const& [id, call] : m_waiting) {
        if (call.fetch_until != model::time_point{} && call.fetch_until < now) {
            refuse_unknown(
                id.value, fetch_retry, "the first run's host doesn't answer");
        }
    }
}

std::optional<model::time_point> bookings::begin_dispatch(model::request_id id,
                                                          model::time_point now)
{
    auto const found = m_waiting.find(id);
    if (found == m_waiting.end()
        || !m_claimant.begin_dispatch(found->second.key, now)) {
        return std::nullopt;
    }
    return now + relay_limit;
}

void bookings::keep_answer(net::booking_answered const& answer,
                           model::time_point now)
{
    auto const found = m_waiting.find(answer.id);
    if (found == m_waiting.end()) {
        return;
    }
    fleet::claim_key const key = found->second.key;
    auto const attempt = m_claimant.running_attempt(key);
    if (attempt) {
        m_answers.put(key,
                      *attempt,
                      {answer.status, answer.content_type, answer.body},
                      now);
    }
}

void bookings::end(model::request_id id,
                   model::outcome outcome,
                   model::time_point now)
{
    auto const found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return;
    }
    waiting_call const call = found->second;
    m_waiting.erase(found);
    // A resend that was answered from an earlier run is no end of that run.
    if (call.admitted) {
        tell_claimant(fleet::claim_ended{call.key, outcome}, now);
    }
}

void bookings::plan_stop(model::time_point now)
{
    tell_witness(fleet::claim_stop_planned{}, now);
}

void bookings::carry_out(fleet::claim_decision const& made,
                         model::time_point now)
{
    if (auto const* message = std::get_if<fleet::claim_send>(&made)) {
        deliver(message->to, message->message, now);
    } else if (auto const* go = std::get_if<fleet::claim_proceed>(&made)) {
        auto const found = m_waiting.find({go->ticket});
        if (found != m_waiting.end()) {
            found->second.admitted = true;
            m_hooks.admit(found->second.request);
        }
    } else if (auto const* no = std::get_if<fleet::claim_not_run>(&made)) {
        refuse(no->ticket,
               {model::error_kind::unavailable,
                no->reason,
                "send it again with the same Idempotency-Key",
                no->retry_after},
               model::outcome::not_run);
    } else if (auto const* open = std::get_if<fleet::claim_unknown>(&made)) {
        refuse_unknown(open->ticket, open->retry_after, open->reason);
    } else if (auto const* wanted =
                   std::get_if<fleet::claim_fetch_answer>(&made)) {
        fetch(*wanted, now);
    } else if (auto const* other = std::get_if<fleet::claim_mismatch>(&made)) {
        refuse(other->ticket,
               {model::error_kind::bad_request,
                "this Idempotency-Key was used for another request",
                "choose a new key for a new request",
                model::milliseconds{0}},
               model::outcome::not_run);
    }
}

} // namespace caperjunction::program
