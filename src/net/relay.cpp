#include "net/relay.hpp"

#include "net/caller_reply.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::net {
namespace {

// Bytes that wait for a slow caller. Above the first the engine's answer is
// left unread, below the second reading goes on; without a bound one caller
// that doesn't read would fill the host's memory.
constexpr std::size_t hold_above = 1'048'576;
constexpr std::size_t release_below = 262'144;

model::milliseconds since(model::time_point start, model::time_point end)
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
    std::visit(overloaded{[this](decide::decision& made) {
                              carry_out(made);
                          },
                          [this](use_lists& lists) {
                              m_caller_server.use(std::move(lists.catalogue));
                          },
                          [this](use_upstreams& listed) {
                              use(listed.upstreams);
                          },
                          [this](dispatch_booking& booking) {
                              start_booking(booking);
                          },
                          [this](replay_answer& answer) {
                              answer_stored(answer);
                          },
                          [this](serve_handed_over& given) {
                              serve(given);
                          },
                          [this](receive_chunk& part) {
                              take(part);
                          },
                          [this](receive_end& end) {
                              take(end);
                          },
                          [this](cancel_handed_over& over) {
                              cancel(over);
                          },
                          [this](drop_host& lost) {
                              lose(lost);
                          },
                          [this](stop_accepting&) {
                              m_stopping = true;
                              m_caller_server.stop_accepting();
                          }},
               message);
}

void relay::use(model::upstream_list const& upstreams)
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

// What is reported must arrive, and in order, or the decision logic would
// count work that has ended; what finds no room waits for the next turn.
void relay::report(relay_report report)
{
    if (m_backlog.empty() && m_report(report)) {
        return;
    }
    m_backlog.push_back(std::move(report));
    if (m_backlog.size() == 1) {
        m_loop.after(backlog_retry, [this] {
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
        m_loop.after(backlog_retry, [this] {
            send_backlog();
        });
    }
}

void relay::tell(decide::event event)
{
    report(std::move(event));
}

bool relay::take(std::unique_ptr<exchange> arrived)
{
    if (m_exchanges.size() >= m_settings.max_exchanges || !m_backlog.empty()) {
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

void relay::forget_caller(model::request_id id)
{
    exchange* const held = find(id);
    if (held == nullptr) {
        return;
    }
    held->caller.reset();
    bool const running = static_cast<bool>(held->call);
    if (!held->request.repeatable && running) {
        // It may have run, and a resend will ask for its answer: it goes on
        // to its end.
        return;
    }
    if (!held->to_host.empty()) {
        report(hand_over_cancelled{held->to_host, id});
    }
    tell(decide::request_cancelled{id});
    m_client.cancel(held->call);
    bool const clean = !running && !held->begun && held->to_host.empty();
    finish(*held,
           clean ? model::outcome::not_run : model::outcome::unknown,
           "hung_up");
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
        hand_over(*other);
    }
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
    reply_metadata const facts{no.id, no.outcome};
    bool const give_back = !held->from_host.empty() && !held->begun
                           && no.outcome == model::outcome::not_run;
    if (give_back) {
        report(hand_over_ended{
            held->from_host,
            {no.id, fleet::hand_over_result::refused, no.outcome, no.reason}});
    } else if (held->caller && held->begun) {
        held->caller->events(
            fmt::format("data: {}\n\n{}",
                        error_body(error, facts),
                        closing_events(model::outcome::unknown)));
        held->caller->end(model::outcome::unknown);
    } else if (held->caller) {
        send_error(*held->caller, error, facts);
    }
    finish(*held, no.outcome, no.reason);
}

void relay::answer_stored(replay_answer const& answer)
{
    exchange* const held = find(answer.id);
    if (held == nullptr) {
        return;
    }
    if (held->caller) {
        held->caller->whole({answer.status,
                             answer.content_type,
                             answer.body,
                             {answer.id, model::outcome::ran}});
    }
    finish(*held, model::outcome::ran, "");
}

void relay::finish(exchange& held, model::outcome outcome, std::string error)
{
    model::time_point const now = m_loop.now();
    exchange_ended ended;
    ended.id = held.request.id;
    ended.customer = held.request.customer;
    ended.service_class = held.request.service_class;
    ended.outcome = outcome;
    ended.error = std::move(error);
    ended.tokens = held.relayed_tokens;
    ended.total_time = since(held.request.arrived, now);
    if (held.first_byte != model::time_point{}) {
        ended.first_byte = since(held.request.arrived, held.first_byte);
    }
    m_exchanges.erase(ended.id);
    report(std::move(ended));
}

void relay::account()
{
    for (auto& [id, held] : m_exchanges) {
        if (held->untold_tokens > 0) {
            tell(decide::tokens_relayed{id, held->untold_tokens});
            held->untold_tokens = 0;
        }
        if (!held->call || !held->begun || !held->caller) {
            continue;
        }
        std::size_t const waiting = held->caller->unsent();
        if (waiting > hold_above) {
            m_client.hold(held->call, true);
        } else if (waiting < release_below) {
            m_client.hold(held->call, false);
        }
    }
    if (m_stopping && m_exchanges.empty()) {
        report(relay_idle{});
    }
}

} // namespace caperjunction::net
