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

/// A caller's connection: reads requests and serves them one by one.
///
/// Thread safety: none; owned by the loop's task.
class caller : public std::enable_shared_from_this<caller>
{
public:
    /// `on_closed` is called once, when the connection is over.
    caller(relay_context& context,
           std::function<void(caller const*)> on_closed);
    ~caller();
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Takes over an accepted socket. \pre Called once.
    void serve(int socket);

    /// Ends what has been slow or idle for too long.
    void check_timeouts();

    /// Closes the connection if no request is on its way, none has come by
    /// now, and the last answer is at least `rest` old.
    void close_if_idle(model::milliseconds min_idle);

    /// The process is about to end: gives a final answer to the request that
    /// is served, and closes the connection.
    void stop();

    /// Ends the connection and the work for its request, without a word.
    void abort();

    /// A request is being read or served, or waits for its turn, or its
    /// answer is still being sent.
    bool is_busy() const
    {
        return m_exchange != nullptr || !m_reader.is_between_messages()
               || !m_pending.empty() || m_stream->unsent_bytes() > 0;
    }

private:
    /// Bytes of a next request that are held while one is served.
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
    void connection_ended(connection_end how);
    void close_gracefully();
    void report_end(close_report const& left);
    std::string_view activity() const;
    std::string_view request_id() const;
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
    /// Bytes that came while a request was being served.
    std::string m_pending;
    std::shared_ptr<exchange> m_exchange;
    std::size_t m_buffered_bytes = 0;
    bool m_has_head = false;
    bool m_closing = false;
    /// The present answer's head lets the caller send another request.
    bool m_keep_alive_announced = false;
    /// The idle limit that stood when the connection began to rest.
    model::milliseconds m_idle_timeout{0};
    /// When the present request's first byte, or the last answer's last,
    /// went by.
    model::time_point m_phase_start{};
};

} // namespace caperjunction::proxy

#endif
