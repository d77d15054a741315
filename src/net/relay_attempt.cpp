#include "net/relay.hpp"

#include <utility>

namespace caperjunction::net {
namespace {

constexpr int status_ok = 200;
constexpr model::milliseconds late_booking_retry{1'000};

} // namespace

upstream_call relay::make_call(exchange const& held, decide::dispatch const& to)
{
    upstream_call call;
    call.to = m_addresses[to.upstream];
    call.method = held.method;
    call.path = held.path;
    call.body = held.body;
    call.needs_new_connection = !held.request.repeatable;
    call.headers = {{"Content-Type", held.content_type},
                    {"caperjunction-request-id", to_string(held.request.id)},
                    {"caperjunction-priority", std::to_string(to.priority)}};
    if (to.resume_offset > 0) {
        call.headers.push_back(
            {"caperjunction-resume-offset", std::to_string(to.resume_offset)});
    }
    if (!held.idempotency_key.empty()) {
        call.headers.push_back({"Idempotency-Key", held.idempotency_key});
    }
    return call;
}

void relay::start_attempt(decide::dispatch const& to)
{
    exchange* const held = find(to.id);
    if (held == nullptr) {
        return;
    }
    held->upstream = to.upstream;
    held->status = 0;
    held->done_seen = false;
    held->upstream_not_run = false;
    held->scanner = {};
    held->collected.clear();
    if (m_addresses.count(to.upstream) == 0) {
        tell(decide::attempt_ended{to.id,
                                   to.upstream,
                                   decide::attempt_end::unreachable,
                                   held->relayed_tokens,
                                   0});
        return;
    }
    model::request_id const id = to.id;
    held->call = m_client.start(make_call(*held, to),
                                {[this, id](call_head const& head) {
                                     take_head(id, head);
                                 },
                                 [this, id](std::string_view bytes) {
                                     take_bytes(id, bytes);
                                 },
                                 [this, id](call_end end) {
                                     end_attempt(id, end);
                                 }});
}

void relay::cancel_attempt(decide::cancel_attempt const& cancel)
{
    exchange* const held = find(cancel.id);
    if (held == nullptr || held->upstream != cancel.upstream) {
        return;
    }
    m_client.cancel(held->call);
    held->call = {};
    tell(decide::attempt_ended{cancel.id,
                               cancel.upstream,
                               decide::attempt_end::cancelled,
                               held->relayed_tokens,
                               0});
}

void relay::take_head(model::request_id id, call_head const& head)
{
    if (exchange* const held = find(id)) {
        held->status = head.status;
        held->answer_type = head.content_type;
        held->upstream_not_run = head.not_run;
    }
}

void relay::take_bytes(model::request_id id, std::string_view bytes)
{
    exchange* const held = find(id);
    if (held == nullptr) {
        return;
    }
    if (held->mode != reply_mode::collected && held->status == status_ok) {
        take_stream(*held, bytes);
        return;
    }
    held->collected.append(bytes);
    if (held->collected.size() > m_settings.max_body_bytes) {
        m_client.cancel(held->call);
        end_attempt(id, call_end::broken);
    }
}

void relay::take_stream(exchange& held, std::string_view bytes)
{
    std::string events;
    sse_scan_result const found = held.scanner.feed(bytes, events);
    held.done_seen = held.done_seen || found.done;
    held.relayed_tokens += found.tokens;
    held.untold_tokens += found.tokens;
    if (!held.first_told && found.tokens > 0) {
        held.first_told = true;
        held.first_byte = m_loop.now();
        tell(decide::tokens_relayed{held.request.id, held.untold_tokens});
        held.untold_tokens = 0;
    }
    bool const sound =
        held.mode == reply_mode::events || held.assembler.add(events);
    if (found.overlong || !sound) {
        m_client.cancel(held.call);
        end_attempt(held.request.id, call_end::broken);
        return;
    }
    if (held.mode == reply_mode::events && !events.empty()) {
        pass_events(held, events);
    }
}

void relay::pass_events(exchange& held, std::string const& events)
{
    if (!held.caller) {
        return;
    }
    if (!held.begun) {
        held.begun = true;
        held.caller->begin(held.request.id);
    }
    held.caller->events(events);
}

decide::attempt_end relay::judge(exchange const& held, call_end end) const
{
    constexpr int too_many_requests = 429;
    constexpr int service_unavailable = 503;
    constexpr int first_server_error = 500;
    using decide::attempt_end;
    if (end == call_end::unreachable) {
        return attempt_end::unreachable;
    }
    if (end == call_end::broken) {
        return attempt_end::broken;
    }
    if (held.upstream_not_run) {
        return attempt_end::refused;
    }
    if (held.mode == reply_mode::collected) {
        return attempt_end::complete;
    }
    if (held.status == status_ok) {
        // A stream that ends without its closing event was cut short.
        return held.done_seen ? attempt_end::complete : attempt_end::broken;
    }
    if (held.status == too_many_requests
        || held.status == service_unavailable) {
        return attempt_end::refused;
    }
    return held.status >= first_server_error ? attempt_end::broken
                                             : attempt_end::failed;
}

void relay::end_attempt(model::request_id id, call_end end)
{
    exchange* const held = find(id);
    if (held == nullptr) {
        return;
    }
    held->call = {};
    decide::attempt_end const judged = judge(*held, end);
    if (held->untold_tokens > 0) {
        tell(decide::tokens_relayed{id, held->untold_tokens});
        held->untold_tokens = 0;
    }
    tell(decide::attempt_ended{
        id, held->upstream, judged, held->relayed_tokens, 0});
    if (judged == decide::attempt_end::complete) {
        answer_whole(*held);
    } else if (judged == decide::attempt_end::failed) {
        answer_failed(*held);
    }
}

void relay::answer_whole(exchange& held)
{
    model::outcome const outcome = model::outcome::ran;
    reply_metadata const facts{held.request.id, outcome};
    if (held.mode == reply_mode::collected) {
        held.first_byte = m_loop.now();
    }
    if (!held.request.repeatable) {
        report(booking_answered{held.request.id,
                                static_cast<std::uint32_t>(held.status),
                                held.answer_type,
                                held.collected});
    }
    if (held.caller && held.mode == reply_mode::events) {
        pass_events(held, closing_events(outcome));
        held.caller->end(outcome);
    } else if (held.caller && held.mode == reply_mode::assembled) {
        std::string const answer = held.assembler.finish();
        held.caller->whole({status_ok, "application/json", answer, facts});
    } else if (held.caller) {
        held.caller->whole(
            {held.status, held.answer_type, held.collected, facts});
    }
    finish(held, outcome, "");
}

// The engine found fault with the request itself; its own words say more
// than any of the router's.
void relay::answer_failed(exchange& held)
{
    reply_metadata const facts{held.request.id, model::outcome::unknown};
    if (held.caller && !held.begun) {
        held.caller->whole(
            {held.status, held.answer_type, held.collected, facts});
    } else if (held.caller) {
        held.caller->events(closing_events(facts.outcome));
        held.caller->end(facts.outcome);
    }
    finish(held, facts.outcome, "upstream_refused_request");
}

// The process may have slept since the claim was confirmed, and another host
// run the call meanwhile; the caller would be charged twice.
void relay::start_booking(dispatch_booking const& booking)
{
    if (m_loop.now() <= booking.until) {
        start_attempt(booking.to);
        return;
    }
    decide::refuse no;
    no.id = booking.to.id;
    no.kind = model::error_kind::unavailable;
    no.retry_after = late_booking_retry;
    no.reason = "claim_too_old";
    no.remedy = "send it again with the same Idempotency-Key";
    tell(decide::attempt_ended{
        no.id, booking.to.upstream, decide::attempt_end::cancelled, 0, 0});
    refuse(no);
}

} // namespace caperjunction::net
