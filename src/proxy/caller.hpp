#ifndef CAPERJUNCTION_PROXY_CALLER_HPP
#define CAPERJUNCTION_PROXY_CALLER_HPP

#include "model/time.hpp"
#include "proxy/exchange.hpp"
#include "proxy/http_reader.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/tcp_stream.hpp"
#include "routing/refusal.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// A caller's connection. Reads requests and serves them one at a time.
///
/// Thread safety: none; owned by the loop's task.
class caller : public std::enable_shared_from_this<caller>
{
public:
    /// `on_closed` is called once, when the connection has ended.
    caller(relay_context& context,
           std::function<void(caller const*)> on_closed);
    ~caller();
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Takes ownership of an accepted socket. \pre Called once.
    void serve(int socket);

    /// Closes the connection or rejects its request if it exceeds the time
    /// limits.
    void check_timeouts();

    /// Closes the connection if it is not busy, no request has arrived by now,
    /// and at least `min_idle` has passed since the last answer.
    void close_if_idle(model::milliseconds min_idle);

    /// Returns the bytes of the last answer that the caller's system has not
    /// received.
    std::size_t unread_bytes() const;

    /// Returns whether the caller may still be reading its last answer,
    /// although its system has received it: until the deadline of that request,
    /// for at most `max_pause` after the answer.
    bool may_be_reading(model::milliseconds max_pause) const;

    /// Called shortly before the process exits. Sends a final answer to the
    /// current request and closes the connection.
    void stop();

    /// Closes the connection and cancels its request without an answer.
    void abort();

    /// Whether a request is being read, served or queued, or an answer is still
    /// being sent.
    bool is_busy() const
    {
        return m_exchange != nullptr || !m_reader.is_between_messages()
               || !m_pending.empty() || m_stream->unsent_bytes() > 0;
    }

private:
    /// Maximum bytes of pipelined requests that are buffered while a request is
    /// served; reading stops beyond it.
    static constexpr std::size_t max_pending = 65'536;

    void handle_data(std::string_view bytes);
    void handle_pending();
    void handle_drained();
    void check_slow_request();
    void parse(std::string_view bytes);
    void handle_head(message_head&& head);
    void handle_body(std::string_view bytes);
    void start_exchange();
    void end_exchange(bool complete);
    void reject(routing::refusal_reason reason);
    void release_body();
    void connection_ended(connection_end reason);
    void close_gracefully();
    void report_end(close_report const& left);
    std::string_view activity() const;
    std::string_view request_id() const;
    bool is_idle_for(model::milliseconds limit);
    bool keeps_alive() const;
    bool announce_keep_alive();
    bool is_connected();
    routing::caller_limits const& limits() const;
    model::milliseconds elapsed() const;

    relay_context& m_context;
    std::function<void(caller const*)> m_on_closed;
    std::shared_ptr<tcp_stream> m_stream;
    http_reader m_reader;
    message_head m_head;
    std::string m_body;
    /// Bytes received while a request was being served.
    std::string m_pending;
    std::shared_ptr<exchange> m_exchange;
    std::size_t m_buffered_bytes = 0;
    bool m_has_head = false;
    bool m_closing = false;
    /// Whether the current answer's head allowed the caller to send another
    /// request.
    bool m_keep_alive_announced = false;
    /// Idle timeout that was configured when the connection became idle.
    model::milliseconds m_idle_timeout{0};
    /// Time of the current request's first byte, or of the last answer's last
    /// byte.
    model::time_point m_phase_start{};
    /// Time until which the caller may still be reading the last answer
    /// although no buffer of this host shows it.
    model::time_point m_reading_until{};
    /// Bytes of the last answer that were unread when the idle timeout was last
    /// checked.
    std::size_t m_last_unread_bytes = 0;
};

} // namespace caperjunction::proxy

#endif
