#ifndef CAPERJUNCTION_NET_RELAY_HPP
#define CAPERJUNCTION_NET_RELAY_HPP

#include "decide/event.hpp"
#include "net/caller_server.hpp"
#include "net/relay_message.hpp"
#include "net/relay_report.hpp"
#include "net/relay_settings.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace caperjunction::net {

/// Relays between callers and upstreams: executes the decisions, relays the
/// answers, and reports events to the task that decides.
///
/// Thread safety: none; owned by one task.
class relay
{
public:
    /// Interval at which relayed tokens are reported and buffers are checked.
    /// Several tokens of a stream arrive within it; reporting each token
    /// costs the task that decides as much time as relaying it.
    static constexpr model::milliseconds poll_period{200};

    /// Delay until reports that the other task rejected are sent again.
    static constexpr model::milliseconds backlog_retry_delay{1};

    /// Sends a report to the task that decides; returns false if its mailbox
    /// is full.
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
    // Start and end of exchanges.
    bool accept(std::unique_ptr<exchange> arrived);
    void handle_disconnect(model::request_id id);
    void finish(exchange& active, model::outcome outcome, std::string error);
    void refuse(decide::refuse const& refuse);
    void answer_stored(replay_answer const& answer);
    void poll_exchanges();
    void set_upstreams(model::upstream_list const& upstreams);
    exchange* find(model::request_id id);

    // Attempts on upstreams.
    void execute(decide::decision const& decision);
    void start_attempt(decide::dispatch const& to);
    void start_booking(dispatch_booking const& booking);
    void cancel_attempt(decide::cancel_attempt const& cancel);
    upstream_call make_call(exchange const& active, decide::dispatch const& to);
    void handle_head(model::request_id id, call_head const& head);
    void handle_bytes(model::request_id id, std::string_view bytes);
    void handle_stream(exchange& active, std::string_view bytes);
    // Size of the answers that are kept until they are complete.
    bool keep(exchange& active, std::size_t bytes);
    void forget_collected(exchange& active);
    void break_off(exchange& active);
    exchange& longest_kept(exchange& among);
    void end_attempt(model::request_id id, call_end end);
    decide::attempt_end classify_end(exchange const& active,
                                     call_end end) const;
    void send_answer(exchange& active);
    void send_upstream_error(exchange& active);
    void relay_events(exchange& active, std::string const& events);

    // Requests handed over to or from another host.
    void hand_over(decide::hand_over const& decision);
    void serve(serve_handed_over const& message);
    caller_sink make_peer_sink(std::string const& host, model::request_id id);
    void receive(receive_chunk const& part);
    void receive(receive_end const& end);
    void handle_broken_end(exchange& active, fleet::hand_over_end const& end);
    void cancel(cancel_handed_over const& cancel);
    void drop(drop_host const& dropped);

    void report(relay_report report);
    void send_backlog();
    void report_event(decide::event event);

    runtime::event_loop& m_loop;
    relay_settings m_settings;
    report_hook m_report;
    upstream_client m_client;
    caller_server m_caller_server;
    std::unordered_map<model::request_id, std::unique_ptr<exchange>>
        m_exchanges;
    std::unordered_map<std::string, model::endpoint> m_addresses;
    /// Of all exchanges.
    std::size_t m_kept_bytes = 0;
    runtime::timer_handle m_poll_timer;
    // Reports that the other task could not accept yet.
    std::deque<relay_report> m_backlog;
    bool m_stopping = false;
    /// The process may end at any moment: it has been told that no exchange is
    /// left.
    bool m_is_done = false;
};

} // namespace caperjunction::net

#endif
