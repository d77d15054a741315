#ifndef CAPERJUNCTION_NET_RELAY_HPP
#define CAPERJUNCTION_NET_RELAY_HPP

#include "decide/event.hpp"
#include "net/caller_server.hpp"
#include "net/relay_message.hpp"
#include "net/relay_report.hpp"
#include "net/relay_settings.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace caperjunction::net {

/// Stands between callers and upstreams: carries out the decisions, relays
/// the answers, and tells the task that decides what happens.
///
/// Thread safety: none; owned by one task.
class relay
{
public:
    /// How often relayed tokens are told, and buffers looked at. Several
    /// tokens of a stream come in that time; telling each alone would cost
    /// the task that decides as much as relaying it.
    static constexpr model::milliseconds account_period{200};

    /// Until reports that found no room are offered again.
    static constexpr model::milliseconds backlog_retry{1};

    /// Passes reports to the task that decides; false if it is full.
    using report_hook = std::function<bool(relay_report&)>;

    relay(runtime::event_loop& loop,
          relay_settings const& settings,
          report_hook report);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    void handle(relay_message& message);

    std::uint16_t port() const
    {
        return m_caller_server.port();
    }

    std::size_t running() const
    {
        return m_exchanges.size();
    }

private:
    // Exchanges: begin and end.
    bool take(std::unique_ptr<exchange> arrived);
    void forget_caller(model::request_id id);
    void finish(exchange& held, model::outcome outcome, std::string error);
    void refuse(decide::refuse const& refuse);
    void answer_stored(replay_answer const& answer);
    void account();
    void use(model::upstream_list const& upstreams);
    exchange* find(model::request_id id);

    // Attempts at upstreams.
    void carry_out(decide::decision const& decision);
    void start_attempt(decide::dispatch const& to);
    void start_booking(dispatch_booking const& booking);
    void cancel_attempt(decide::cancel_attempt const& cancel);
    upstream_call make_call(exchange const& held, decide::dispatch const& to);
    void take_head(model::request_id id, call_head const& head);
    void take_bytes(model::request_id id, std::string_view bytes);
    void take_stream(exchange& held, std::string_view bytes);
    void end_attempt(model::request_id id, call_end end);
    decide::attempt_end judge(exchange const& held, call_end end) const;
    void answer_whole(exchange& held);
    void answer_failed(exchange& held);
    void pass_events(exchange& held, std::string const& events);

    // Requests that go to or come from another host.
    void hand_over(decide::hand_over const& decision);
    void serve(serve_handed_over const& given);
    caller_sink make_peer_sink(std::string const& host, model::request_id id);
    void take(receive_chunk const& part);
    void take(receive_end const& end);
    void take_broken_end(exchange& held, fleet::hand_over_end const& end);
    void cancel(cancel_handed_over const& cancel);
    void lose(drop_host const& lost);

    void report(relay_report report);
    void send_backlog();
    void tell(decide::event event);

    runtime::event_loop& m_loop;
    relay_settings m_settings;
    report_hook m_report;
    upstream_client m_client;
    caller_server m_caller_server;
    std::unordered_map<model::request_id, std::unique_ptr<exchange>>
        m_exchanges;
    std::unordered_map<std::string, model::endpoint> m_addresses;
    runtime::timer_handle m_account;
    // Reports that the other task had no room for.
    std::deque<relay_report> m_backlog;
    bool m_stopping = false;
};

} // namespace caperjunction::net

#endif
