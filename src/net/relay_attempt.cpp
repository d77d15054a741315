#include "net/relay.hpp"

#include <utility>

namespace caperjunction::net {
namespace {

constexpr int status_ok = 200;
constexpr model::milliseconds expired_claim_retry_after{1'000};

} // namespace

upstream_call relay::make_call(exchange const& active,
                               decide::dispatch const& to)
{
    upstream_call call;
    call.to = m_addresses[to.upstream];
    call.method = active.method;
    call.path = active.path;
    call.body = active.body;
    call.needs_new_connection = !active.request.repeatable;
    call.headers = {{"Content-Type", active.content_type},
                    {"caperjunction-request-id", to_string(active.request.id)},
                    {"caperjunction-priority", std::to_string(to.priority)}};
    if (to.resume_offset > 0) {
        call.headers.push_back(
            {"caperjunction-resume-offset", std::to_string(to.resume_offset)});
    }
    if (!active.idempotency_key.empty()) {
        call.headers.push_back({"Idempotency-Key", active.idempotency_key});
    }
    return call;
}

void relay::start_attempt(decide::dispatch const& to)
{
    exchange* const active = find(to.id);
    if (active == nullptr) {
        return;
    }
    active->upstream = to.upstream;
    active->status = 0;
    active->done_seen = false;
    active->upstream_not_run = false;
    active->upstream_retry_after = {};
    active->scanner = {};
    forget_collected(*active);
    if (m_addresses.count(to.upstream) == 0) {
        report_event(decide::attempt_ended{to.id,
                                           to.upstream,
                                           decide::attempt_end::unreachable,
                                           active->relayed_tokens,
                                           0});
        return;
    }
    model::request_id const id = to.id;
    active->call = m_client.start(make_call(*active, to),
                                  {[this, id](call_head const& head) {
                                       handle_head(id, head);
                                   },
                                   [this, id](std::string_view bytes) {
                                       handle_bytes(id, bytes);
                                   },
                                   [this, id](call_end end) {
                                       end_attempt(id, end);
                                   }});
}

void relay::cancel_attempt(decide::cancel_attempt const& cancel)
{
    exchange* const active = find(cancel.id);
    if (active == nullptr || active->upstream != cancel.upstream) {
        return;
    }
    m_client.cancel(active->call);
    active->call = {};
    report_event(decide::attempt_ended{cancel.id,
                                       cancel.upstream,
                                       decide::attempt_end::cancelled,
                                       active->relayed_tokens,
                                       0});
}

void relay::handle_head(model::request_id id, call_head const& head)
{
    if (exchange* const active = find(id)) {
        active->status = head.status;
        active->answer_content_type = head.content_type;
        active->upstream_not_run = head.not_run;
        active->upstream_retry_after = head.retry_after;
    }
}

void relay::handle_bytes(model::request_id id, std::string_view bytes)
{
    exchange* const active = find(id);
    if (active == nullptr) {
        return;
    }
    if (active->mode != reply_mode::collected && active->status == status_ok) {
        handle_stream(*active, bytes);
        return;
    }
    active->collected.append(bytes);
    keep(*active, bytes.size());
}

void relay::handle_stream(exchange& active, std::string_view bytes)
{
    std::string events;
    sse_scan_result const found = active.scanner.feed(bytes, events);
    active.done_seen = active.done_seen || found.done;
    active.relayed_tokens += found.tokens;
    active.unreported_tokens += found.tokens;
    if (!active.first_token_reported && found.tokens > 0) {
        active.first_token_reported = true;
        active.first_byte_at = m_loop.now();
        report_event(decide::tokens_relayed{active.request.id,
                                            active.unreported_tokens});
        active.unreported_tokens = 0;
    }
    std::size_t const assembled = active.assembler.size();
    bool const parsed =
        active.mode == reply_mode::events || active.assembler.add(events);
    if (found.overlong || !parsed) {
        break_off(active);
        return;
    }
    if (!keep(active, active.assembler.size() - assembled)) {
        return;
    }
    if (active.mode == reply_mode::events && !events.empty()) {
        relay_events(active, events);
    }
}

void relay::relay_events(exchange& active, std::string const& events)
{
    if (!active.caller) {
        return;
    }
    if (!active.answer_started) {
        active.answer_started = true;
        active.caller->begin(active.request.id);
    }
    active.caller->events(events);
}

decide::attempt_end relay::classify_end(exchange const& active,
                                        call_end end) const
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
    if (active.upstream_not_run) {
        return attempt_end::refused;
    }
    if (active.mode == reply_mode::collected) {
        return attempt_end::complete;
    }
    if (active.status == status_ok) {
        // A stream that ends without its closing event is truncated.
        return active.done_seen ? attempt_end::complete : attempt_end::broken;
    }
    if (active.status == too_many_requests
        || active.status == service_unavailable) {
        return attempt_end::refused;
    }
    return active.status >= first_server_error ? attempt_end::broken
                                               : attempt_end::failed;
}

void relay::end_attempt(model::request_id id, call_end end)
{
    exchange* const active = find(id);
    if (active == nullptr) {
        return;
    }
    active->call = {};
    decide::attempt_end const result = classify_end(*active, end);
    if (active->unreported_tokens > 0) {
        report_event(decide::tokens_relayed{id, active->unreported_tokens});
        active->unreported_tokens = 0;
    }
    report_event(decide::attempt_ended{id,
                                       active->upstream,
                                       result,
                                       active->relayed_tokens,
                                       0,
                                       active->upstream_retry_after});
    if (result == decide::attempt_end::complete) {
        send_answer(*active);
    } else if (result == decide::attempt_end::failed) {
        send_upstream_error(*active);
    }
}

void relay::send_answer(exchange& active)
{
    model::outcome const outcome = model::outcome::ran;
    reply_metadata const metadata{active.request.id, outcome};
    if (active.mode == reply_mode::collected) {
        active.first_byte_at = m_loop.now();
    }
    if (!active.request.repeatable) {
        report(booking_answered{active.request.id,
                                static_cast<std::uint32_t>(active.status),
                                active.answer_content_type,
                                active.collected});
    }
    if (active.caller && active.mode == reply_mode::events) {
        relay_events(active, closing_events(outcome));
        active.caller->end(outcome);
    } else if (active.caller && active.mode == reply_mode::assembled) {
        std::string const answer = active.assembler.finish();
        active.caller->complete(
            {status_ok, "application/json", answer, metadata});
    } else if (active.caller) {
        active.caller->complete({active.status,
                                 active.answer_content_type,
                                 active.collected,
                                 metadata});
    }
    finish(active, outcome, "");
}

// The engine rejected the request itself. Its own error text is more precise
// than a generic one.
void relay::send_upstream_error(exchange& active)
{
    reply_metadata const metadata{active.request.id, model::outcome::unknown};
    if (active.caller && !active.answer_started) {
        active.caller->complete({active.status,
                                 active.answer_content_type,
                                 active.collected,
                                 metadata});
    } else if (active.caller) {
        active.caller->events(closing_events(metadata.outcome));
        active.caller->end(metadata.outcome);
    }
    finish(active, metadata.outcome, "upstream_refused_request");
}

// If the process was suspended after the claim was confirmed, another host may
// have run the call in the meantime. A late dispatch would then run it twice,
// and the caller would be charged twice.
void relay::start_booking(dispatch_booking const& booking)
{
    if (m_loop.now() <= booking.until) {
        start_attempt(booking.to);
        return;
    }
    decide::refuse refusal;
    refusal.id = booking.to.id;
    refusal.kind = model::error_kind::unavailable;
    refusal.retry_after = expired_claim_retry_after;
    refusal.reason = "claim_too_old";
    refusal.remedy = "send it again with the same Idempotency-Key";
    report_event(decide::attempt_ended{
        refusal.id, booking.to.upstream, decide::attempt_end::cancelled, 0, 0});
    refuse(refusal);
}

} // namespace caperjunction::net
