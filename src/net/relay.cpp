#include "net/relay.hpp"

#include "net/caller_reply.hpp"
#include "net/sockets.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace caperjunction::net {
namespace {

// Bytes that wait for a slow caller. Above the first the engine's answer is
// left unread, below the second reading goes on; without a bound one caller
// that doesn't read would fill the host's memory.
constexpr std::size_t hold_above = 1'048'576;
constexpr std::size_t release_below = 262'144;

constexpr int status_ok = 200;

model::milliseconds since(model::time_point start, model::time_point end)
{
    return std::chrono::duration_cast<model::milliseconds>(end - start);
}

} // namespace

relay::relay(runtime::event_loop& loop,
             relay_settings const& settings,
             tell_hook tell)
    : m_loop(loop)
    , m_settings(settings)
    , m_tell(std::move(tell))
    , m_client(loop, settings.upstreams)
    , m_front(loop,
              settings,
              {[this](std::unique_ptr<exchange> arrived) {
                   return take(std::move(arrived));
               },
               [this](model::request_id id) {
                   forget_caller(id);
               }})
    , m_account(loop.every(account_period, [this] {
        account();
    }))
{
}

relay::~relay()
{
    m_loop.cancel(m_account);
}

void relay::handle(relay_message& message)
{
    if (auto const* decision = std::get_if<decide::decision>(&message)) {
        carry_out(*decision);
    } else if (auto* lists = std::get_if<use_lists>(&message)) {
        m_front.use(std::move(lists->catalogue));
    } else if (auto const* listed = std::get_if<use_upstreams>(&message)) {
        m_addresses.clear();
        for (model::engine const& engine : listed->upstreams.engines) {
            m_addresses[engine.name] = engine.address;
        }
        for (auto const& service : listed->upstreams.services) {
            m_addresses[service.name] = service.address;
        }
    } else if (auto const* answer = std::get_if<answer_again>(&message)) {
        answer_stored(*answer);
    } else {
        m_stopping = true;
        m_front.stop_accepting();
    }
}

exchange* relay::find(model::request_id id)
{
    auto const found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

void relay::tell(decide::event event)
{
    // What is told here must arrive, or the decision logic would count work
    // that has ended; it is sent again at the next chance.
    if (!m_tell(event)) {
        m_loop.defer([this, event = std::move(event)]() mutable {
            tell(std::move(event));
        });
    }
}

bool relay::take(std::unique_ptr<exchange> arrived)
{
    if (m_exchanges.size() >= m_settings.max_exchanges) {
        return false;
    }
    decide::event event = decide::request_arrived{arrived->request};
    if (!m_tell(event)) {
        return false;
    }
    model::request_id const id = arrived->request.id;
    m_exchanges.emplace(id, std::move(arrived));
    return true;
}

void relay::forget_caller(model::request_id id)
{
    exchange* const held = find(id);
    if (held == nullptr) {
        return;
    }
    held->caller = nullptr;
    tell(decide::request_cancelled{id});
    if (!held->request.repeatable) {
        // It may be running, and a resend will ask for its answer: it goes
        // on to its end.
        return;
    }
    m_client.cancel(held->call);
    finish(*held, model::outcome::unknown, "hung_up");
}

void relay::carry_out(decide::decision const& decision)
{
    if (auto const* to = std::get_if<decide::dispatch>(&decision)) {
        start_attempt(*to);
    } else if (auto const* no = std::get_if<decide::refuse>(&decision)) {
        refuse(*no);
    } else if (auto const* end =
                   std::get_if<decide::cancel_attempt>(&decision)) {
        cancel_attempt(*end);
    } else if (auto const* other = std::get_if<decide::hand_over>(&decision)) {
        tell(decide::hand_over_refused{other->id, other->host});
    }
}

upstream_call relay::make_call(exchange const& held, decide::dispatch const& to)
{
    upstream_call call;
    call.to = m_addresses[to.upstream];
    call.method = held.method;
    call.path = held.path;
    call.body = held.body;
    call.fresh = !held.request.repeatable;
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
    sse_found const found = held.scanner.feed(bytes, events);
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
    if (held.caller == nullptr) {
        return;
    }
    if (!held.begun) {
        held.begun = true;
        begin_events(held.caller, held.request.id);
    }
    send_events(held.caller, events);
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
    if (held.caller != nullptr) {
        m_front.release(held.caller);
        if (held.mode == reply_mode::events) {
            pass_events(held, closing_events(outcome));
            end_events(held.caller);
        } else if (held.mode == reply_mode::assembled) {
            send_whole(held.caller,
                       status_ok,
                       "application/json",
                       held.assembler.finish(),
                       {held.request.id, outcome});
        } else {
            held.first_byte = m_loop.now();
            send_whole(held.caller,
                       held.status,
                       held.answer_type,
                       held.collected,
                       {held.request.id, outcome});
        }
    }
    finish(held, outcome, "");
}

// The engine found fault with the request itself; its own words say more
// than any of the router's.
void relay::answer_failed(exchange& held)
{
    if (held.caller != nullptr && !held.begun) {
        m_front.release(held.caller);
        send_whole(held.caller,
                   held.status,
                   held.answer_type,
                   held.collected,
                   {held.request.id, model::outcome::unknown});
    }
    finish(held, model::outcome::unknown, "upstream_refused_request");
}

void relay::refuse(decide::refuse const& no)
{
    exchange* const held = find(no.id);
    if (held == nullptr) {
        return;
    }
    m_client.cancel(held->call);
    error_reply const error{
        no.kind,
        fmt::format("the request was refused: {}", no.reason),
        no.remedy,
        no.retry_after};
    reply_facts const facts{no.id, no.outcome};
    if (held->caller != nullptr) {
        m_front.release(held->caller);
        if (held->begun) {
            send_events(held->caller,
                        fmt::format("data: {}\n\n{}",
                                    error_body(error, facts),
                                    closing_events(model::outcome::unknown)));
            end_events(held->caller);
        } else {
            send_error(held->caller, error, facts);
        }
    }
    finish(*held, no.outcome, no.reason);
}

void relay::answer_stored(answer_again const& answer)
{
    exchange* const held = find(answer.id);
    if (held == nullptr) {
        return;
    }
    if (held->caller != nullptr) {
        m_front.release(held->caller);
        send_whole(held->caller,
                   answer.status,
                   answer.content_type,
                   answer.body,
                   {answer.id, model::outcome::ran});
    }
    finish(*held, model::outcome::ran, "");
}

void relay::finish(exchange& held, model::outcome outcome, std::string error)
{
    model::time_point const now = m_loop.now();
    exchange_ended report;
    report.id = held.request.id;
    report.customer = held.request.customer;
    report.service_class = held.request.service_class;
    report.outcome = outcome;
    report.error = std::move(error);
    report.tokens = held.relayed_tokens;
    report.whole = since(held.request.arrived, now);
    if (held.first_byte != model::time_point{}) {
        report.first_byte = since(held.request.arrived, held.first_byte);
    }
    m_exchanges.erase(report.id);
    ended.emit(report);
    if (m_stopping && m_exchanges.empty()) {
        idle.emit();
    }
}

void relay::account()
{
    for (auto& [id, held] : m_exchanges) {
        if (held->untold_tokens > 0) {
            tell(decide::tokens_relayed{id, held->untold_tokens});
            held->untold_tokens = 0;
        }
        if (held->call && held->begun && held->caller != nullptr) {
            std::size_t const waiting = unsent_bytes(held->caller);
            if (waiting > hold_above) {
                m_client.hold(held->call, true);
            } else if (waiting < release_below) {
                m_client.hold(held->call, false);
            }
        }
    }
    if (m_stopping && m_exchanges.empty()) {
        idle.emit();
    }
}

} // namespace caperjunction::net
