#include "net/relay.hpp"

#include "net/caller_reply.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::net {
namespace {

// Bytes buffered for a slow caller. Reading of the engine's answer pauses above
// the first limit and resumes below the second. Without a limit, one caller
// that doesn't read fills the host's memory.
constexpr std::size_t pause_above_bytes = 1'048'576;
constexpr std::size_t resume_below_bytes = 262'144;

model::milliseconds elapsed(model::time_point start, model::time_point end)
{
    return std::chrono::duration_cast<model::milliseconds>(end - start);
}

template <typename... Cases>
struct overloaded : Cases...
{
    using Cases::operator()...;
};

template <typename... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

} // namespace

relay::relay(runtime::event_loop& loop,
             relay_settings const& settings,
             report_hook report)
    : m_loop(loop)
    , m_settings(settings)
    , m_report(std::move(report))
    , m_client(loop, settings.upstreams)
    , m_caller_server(loop,
                      settings,
                      {[this](std::unique_ptr<exchange> arrived) {
                           return accept(std::move(arrived));
                       },
                       [this](model::request_id id) {
                           handle_disconnect(id);
                       }})
    , m_poll_timer(loop.every(poll_period, [this] {
        poll_exchanges();
    }))
{
}

relay::~relay()
{
    m_loop.cancel(m_poll_timer);
}

void relay::handle(relay_message& message)
{
    std::visit(overloaded{[this](decide::decision& decision) {
                              execute(decision);
                          },
                          [this](use_lists& lists) {
                              m_caller_server.set_catalogue(
                                  std::move(lists.catalogue));
                          },
                          [this](use_upstreams& listed) {
                              set_upstreams(listed.upstreams);
                          },
                          [this](dispatch_booking& booking) {
                              start_booking(booking);
                          },
                          [this](replay_answer& answer) {
                              answer_stored(answer);
                          },
                          [this](serve_handed_over& handed_over) {
                              serve(handed_over);
                          },
                          [this](receive_chunk& part) {
                              receive(part);
                          },
                          [this](receive_end& end) {
                              receive(end);
                          },
                          [this](cancel_handed_over& over) {
                              cancel(over);
                          },
                          [this](drop_host& dropped) {
                              drop(dropped);
                          },
                          [this](stop_accepting&) {
                              m_stopping = true;
                              m_caller_server.stop_accepting();
                          }},
               message);
}

void relay::set_upstreams(model::upstream_list const& upstreams)
{
    m_addresses.clear();
    for (model::engine const& engine : upstreams.engines) {
        m_addresses[engine.name] = engine.address;
    }
    for (model::service_instance const& service : upstreams.services) {
        m_addresses[service.name] = service.address;
    }
}

exchange* relay::find(model::request_id id)
{
    auto const found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

// Reports must arrive, and in order; otherwise the decision logic counts work
// that has ended. Rejected reports are kept and sent again later.
void relay::report(relay_report report)
{
    if (m_backlog.empty() && m_report(report)) {
        return;
    }
    m_backlog.push_back(std::move(report));
    if (m_backlog.size() == 1) {
        m_loop.after(backlog_retry_delay, [this] {
            send_backlog();
        });
    }
}

void relay::send_backlog()
{
    while (!m_backlog.empty() && m_report(m_backlog.front())) {
        m_backlog.pop_front();
    }
    if (!m_backlog.empty()) {
        m_loop.after(backlog_retry_delay, [this] {
            send_backlog();
        });
    }
}

void relay::report_event(decide::event event)
{
    report(std::move(event));
}

bool relay::accept(std::unique_ptr<exchange> arrived)
{
    bool const is_full = m_exchanges.size() >= m_settings.max_exchanges;
    if (is_full || m_is_done || !m_backlog.empty()) {
        return false;
    }
    relay_report arrival =
        decide::event(decide::request_arrived{arrived->request});
    if (!arrived->request.repeatable) {
        arrival = booking_arrived{arrived->request, arrived->idempotency_key};
    }
    if (!m_report(arrival)) {
        return false;
    }
    model::request_id const id = arrived->request.id;
    m_exchanges.emplace(id, std::move(arrived));
    return true;
}

void relay::handle_disconnect(model::request_id id)
{
    exchange* const active = find(id);
    if (active == nullptr) {
        return;
    }
    active->caller.reset();
    bool const running = static_cast<bool>(active->call);
    if (!active->request.repeatable && running) {
        // The call may have run, and a resend will request its answer, so it
        // continues to its end.
        return;
    }
    if (!active->to_host.empty()) {
        report(hand_over_cancelled{active->to_host, id});
    }
    report_event(decide::request_cancelled{id});
    m_client.cancel(active->call);
    bool const not_started =
        !running && !active->answer_started && active->to_host.empty();
    finish(*active,
           not_started ? model::outcome::not_run : model::outcome::unknown,
           "hung_up");
}

void relay::execute(decide::decision const& decision)
{
    if (auto const* to = std::get_if<decide::dispatch>(&decision)) {
        start_attempt(*to);
    } else if (auto const* refusal = std::get_if<decide::refuse>(&decision)) {
        refuse(*refusal);
    } else if (auto const* end =
                   std::get_if<decide::cancel_attempt>(&decision)) {
        cancel_attempt(*end);
    } else if (auto const* other = std::get_if<decide::hand_over>(&decision)) {
        hand_over(*other);
    }
}

void relay::refuse(decide::refuse const& refusal)
{
    exchange* const active = find(refusal.id);
    if (active == nullptr) {
        return;
    }
    m_client.cancel(active->call);
    error_reply const error{
        refusal.kind,
        fmt::format("the request was refused: {}", refusal.reason),
        refusal.remedy,
        refusal.retry_after};
    reply_metadata const metadata{refusal.id, refusal.outcome};
    bool const returns_to_origin =
        !active->from_host.empty() && !active->answer_started
        && refusal.outcome == model::outcome::not_run;
    if (returns_to_origin) {
        report(hand_over_ended{active->from_host,
                               {refusal.id,
                                fleet::hand_over_result::refused,
                                refusal.outcome,
                                refusal.reason}});
    } else if (active->caller && active->answer_started) {
        active->caller->events(
            fmt::format("data: {}\n\n{}",
                        error_body(error, metadata),
                        closing_events(model::outcome::unknown)));
        active->caller->end(model::outcome::unknown);
    } else if (active->caller) {
        send_error(*active->caller, error, metadata);
    }
    finish(*active, refusal.outcome, refusal.reason);
}

void relay::answer_stored(replay_answer const& answer)
{
    exchange* const active = find(answer.id);
    if (active == nullptr) {
        return;
    }
    if (active->caller) {
        active->caller->complete({answer.status,
                                  answer.content_type,
                                  answer.body,
                                  {answer.id, model::outcome::ran}});
    }
    finish(*active, model::outcome::ran, "");
}

void relay::finish(exchange& active, model::outcome outcome, std::string error)
{
    model::time_point const now = m_loop.now();
    exchange_ended ended;
    ended.id = active.request.id;
    ended.customer = active.request.customer;
    ended.service_class = active.request.service_class;
    ended.outcome = outcome;
    ended.error = std::move(error);
    ended.tokens = active.relayed_tokens;
    ended.total_time = elapsed(active.request.arrived, now);
    if (active.first_byte_at != model::time_point{}) {
        ended.first_byte =
            elapsed(active.request.arrived, active.first_byte_at);
    }
    m_kept_bytes -= active.kept_bytes;
    m_exchanges.erase(ended.id);
    report(std::move(ended));
}

void relay::poll_exchanges()
{
    for (auto& [id, active] : m_exchanges) {
        if (active->unreported_tokens > 0) {
            report_event(decide::tokens_relayed{id, active->unreported_tokens});
            active->unreported_tokens = 0;
        }
        if (!active->call || !active->answer_started || !active->caller) {
            continue;
        }
        std::size_t const waiting = active->caller->unsent_bytes();
        if (waiting > pause_above_bytes) {
            m_client.set_paused(active->call, true);
        } else if (waiting < resume_below_bytes) {
            m_client.set_paused(active->call, false);
        }
    }
    if (m_stopping && m_exchanges.empty()) {
        m_is_done = true;
        report(relay_idle{});
    }
}

} // namespace caperjunction::net
