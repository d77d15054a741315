#ifndef CAPERJUNCTION_NET_RELAY_HPP
#define CAPERJUNCTION_NET_RELAY_HPP

#include "decide/event.hpp"
#include "net/front.hpp"
#include "net/relay_message.hpp"
#include "net/relay_settings.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace caperjunction::net {

/// How one exchange ended, for the log and the metrics.
struct exchange_ended
{
    model::request_id id;
    std::string customer;
    std::string service_class;
    model::outcome outcome = model::outcome::unknown;
    /// Empty, or the kind of error that the caller was told.
    std::string error;
    std::uint32_t tokens = 0;
    /// From arrival; zero if no byte was sent.
    model::milliseconds first_byte{0};
    model::milliseconds whole{0};
};

/// Stands between callers and upstreams: carries out the decisions, relays
/// the answers, and tells the decision logic what happens.
///
/// Thread safety: none; owned by one task.
class relay
{
public:
    /// How often relayed tokens are told, and buffers looked at.
    static constexpr model::milliseconds account_period{50};

    /// `tell` passes events to the task that decides; false if it is full.
    using tell_hook = std::function<bool(decide::event&)>;

    relay(runtime::event_loop& loop,
          relay_settings const& settings,
          tell_hook tell);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    void handle(relay_message& message);

    std::uint16_t port() const
    {
        return m_front.port();
    }

    std::size_t running() const
    {
        return m_exchanges.size();
    }

    /// Emitted for every exchange, by this task.
    sigc::signal<void(exchange_ended const&)> ended;
    /// Emitted when no exchange is left after `stop_accepting`.
    sigc::signal<void()> idle;

private:
    bool take(std::unique_ptr<exchange> arrived);
    void forget_caller(model::request_id id);
    void carry_out(decide::decision const& decision);
    void start_attempt(decide::dispatch const& dispatch);
    void cancel_attempt(decide::cancel_attempt const& cancel);
    void refuse(decide::refuse const& refuse);
    void answer_stored(answer_again const& answer);

    upstream_call make_call(exchange const& held, decide::dispatch const& to);
    void take_head(model::request_id id, call_head const& head);
    void take_bytes(model::request_id id, std::string_view bytes);
    void take_stream(exchange& held, std::string_view bytes);
    void end_attempt(model::request_id id, call_end end);
    decide::attempt_end judge(exchange const& held, call_end end) const;
    void answer_whole(exchange& held);
    void answer_failed(exchange& held);
    void pass_events(exchange& held, std::string const& events);
    void finish(exchange& held, model::outcome outcome, std::string error);
    void account();
    void tell(decide::event event);
    exchange* find(model::request_id id);

    runtime::event_loop& m_loop;
    relay_settings m_settings;
    tell_hook m_tell;
    upstream_client m_client;
    front m_front;
    std::unordered_map<model::request_id, std::unique_ptr<exchange>>
        m_exchanges;
    std::unordered_map<std::string, model::endpoint> m_addresses;
    runtime::timer_handle m_account;
    bool m_stopping = false;
};

} // namespace caperjunction::net

#endif
