#include "program/bookings.hpp"

#include "net/caller_reply.hpp"
#include "runtime/log_line.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::program {
namespace {

// The relay receives a confirmed call within microseconds. A longer delay
// means that the process was paused.
constexpr model::milliseconds relay_start_timeout{2'000};

bool contains_host(model::host_list const& hosts, std::string const& name)
{
    return std::any_of(hosts.members.begin(),
                       hosts.members.end(),
                       [&name](model::host const& host) {
                           return host.name == name;
                       });
}

fleet::witness_settings witness_settings_of(booking_settings const& settings)
{
    fleet::witness_settings result;
    result.host = settings.host;
    result.generation = settings.generation;
    result.claims = settings.claims;
    result.first_fleet = settings.first_fleet;
    return result;
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

void bookings::handle_claimant_event(fleet::claimant_event const& event,
                                     model::time_point now)
{
    std::vector<fleet::claim_decision> decisions;
    m_claimant.handle(event, now, decisions);
    for (fleet::claim_decision const& decision : decisions) {
        execute(decision, now);
    }
}

void bookings::handle_witness_event(fleet::witness_event const& event,
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

void bookings::set_hosts(model::host_list const& hosts, model::time_point now)
{
    // A host may start before the platform lists it. With a list that lacks
    // this host, the witness treats the votes of the first fleet as already
    // granted, and no booking reaches a quorum until its claim table has
    // matured.
    m_listed = m_listed || contains_host(hosts, m_settings.host);
    if (!m_listed) {
        return;
    }
    auto const view =
        std::make_shared<fleet::claim_view const>(hosts, m_settings.claims);
    handle_claimant_event(fleet::claim_view_listed{view}, now);
    handle_witness_event(fleet::claim_view_listed{view}, now);
}

void bookings::confirm_hosts(model::time_point as_of, model::time_point now)
{
    handle_claimant_event(fleet::claim_view_confirmed{as_of}, now);
    handle_witness_event(fleet::claim_view_confirmed{as_of}, now);
}

void bookings::start(net::booking_arrived const& arrived, model::time_point now)
{
    decide::request const& request = arrived.request;
    fleet::claim_key const key =
        fleet::make_claim_key(request.customer, arrived.idempotency_key);
    m_pending[request.id] = {request, key};
    handle_claimant_event(
        fleet::claim_started{key, request.fingerprint, request.id.value}, now);
}

void bookings::receive(std::string const& from,
                       fleet::claim_message const& message,
                       model::time_point now)
{
    if (auto const* query = std::get_if<fleet::answer_query>(&message)) {
        send_answer(from, *query, now);
    } else if (auto const* reply = std::get_if<fleet::answer_reply>(&message)) {
        handle_answer(*reply);
    } else {
        handle_claimant_event(fleet::claim_received{from, message}, now);
        handle_witness_event(fleet::claim_received{from, message}, now);
    }
}

void bookings::record_restart(std::string const& host, model::time_point now)
{
    handle_witness_event(fleet::claim_host_restarted{host}, now);
}

void bookings::tick(model::time_point now)
{
    handle_claimant_event(fleet::claim_tick{}, now);
    handle_witness_event(fleet::claim_tick{}, now);
    m_answers.expire(now);
    for (auto const& [id, call] : m_pending) {
        if (call.fetch_until != model::time_point{} && call.fetch_until < now) {
            refuse_unknown(id.value,
                           call.no_answer_retry_after,
                           "the first run's host doesn't answer");
        }
    }
}

std::optional<model::time_point> bookings::begin_dispatch(model::request_id id,
                                                          model::time_point now)
{
    auto const found = m_pending.find(id);
    if (found == m_pending.end()
        || !m_claimant.begin_dispatch(found->second.key, now)) {
        return std::nullopt;
    }
    return now + relay_start_timeout;
}

void bookings::keep_answer(net::booking_answered const& answer,
                           model::time_point now)
{
    auto const found = m_pending.find(answer.id);
    if (found == m_pending.end()) {
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
    auto const found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    pending_call const call = found->second;
    m_pending.erase(found);
    // A resend that was answered from an earlier run does not end that run.
    if (call.admitted) {
        handle_claimant_event(fleet::claim_ended{call.key, outcome}, now);
    }
}

void bookings::plan_stop(model::time_point now)
{
    handle_witness_event(fleet::claim_stop_planned{}, now);
}

void bookings::execute(fleet::claim_decision const& decision,
                       model::time_point now)
{
    if (auto const* message = std::get_if<fleet::claim_send>(&decision)) {
        deliver(message->to, message->message, now);
    } else if (auto const* proceed =
                   std::get_if<fleet::claim_proceed>(&decision)) {
        auto const found = m_pending.find({proceed->ticket});
        if (found != m_pending.end()) {
            found->second.admitted = true;
            m_hooks.admit(found->second.request);
        }
    } else if (auto const* not_run =
                   std::get_if<fleet::claim_not_run>(&decision)) {
        refuse(not_run->ticket,
               {model::error_kind::unavailable,
                not_run->reason,
                "send it again with the same Idempotency-Key",
                not_run->retry_after},
               model::outcome::not_run);
    } else if (auto const* unknown =
                   std::get_if<fleet::claim_unknown>(&decision)) {
        resolve_unknown(*unknown, now);
    } else if (auto const* wanted =
                   std::get_if<fleet::claim_fetch_answer>(&decision)) {
        fetch(*wanted, now);
    } else if (auto const* mismatch =
                   std::get_if<fleet::claim_mismatch>(&decision)) {
        refuse(mismatch->ticket,
               {model::error_kind::bad_request,
                "this Idempotency-Key was used for another request",
                "choose a new key for a new request",
                model::milliseconds{0}},
               model::outcome::not_run);
    }
}

} // namespace caperjunction::program
