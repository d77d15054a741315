#ifndef CAPERJUNCTION_PROXY_TCP_STREAM_HPP
#define CAPERJUNCTION_PROXY_TCP_STREAM_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/connection_end.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

struct event;
struct evbuffer;

namespace caperjunction::proxy {

/// State of a connection that this host closed, at its end.
struct close_report
{
    connection_end end = connection_end::closed;
    /// Bytes that the socket had not accepted.
    std::size_t unsent_bytes = 0;
    /// Bytes received after this host had started to close.
    std::size_t late_bytes = 0;
};

/// A TCP connection on the event loop.
///
/// Writes directly to the socket when possible: forwarding an event then costs
/// one read and one write, without another loop iteration.
///
/// Thread safety: none; owned by the loop's task. Hooks may close it.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    struct hooks
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;
        std::function<void(connection_end)> on_end;
        /// All written bytes have been handed to the socket.
        std::function<void()> on_drained;
    };

    /// Connects to `to`. Ends as unreachable after `timeout`, and as
    /// unacknowledged if the peer stops responding.
    static std::shared_ptr<tcp_stream> connect(runtime::event_loop& loop,
                                               model::endpoint const& to,
                                               model::milliseconds timeout,
                                               hooks callbacks);

    /// Takes ownership of an accepted socket.
    static std::shared_ptr<tcp_stream>
    adopt(runtime::event_loop& loop, int socket, hooks callbacks);

    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    /// Replaces the hooks, for the next user of a kept connection.
    void set_hooks(hooks callbacks);

    void write(std::string_view bytes);

    /// Stops or resumes reading. While stopped, the end of the connection is
    /// not detected.
    void enable_reading(bool enabled);

    /// Reads pending input without waiting for the loop. Hooks may be called
    /// before it returns.
    void read_available();

    /// Returns the buffered bytes that the socket has not accepted.
    std::size_t unsent_bytes() const;

    /// Returns the bytes that the system has taken and the peer has not
    /// acknowledged; 0 if the system does not tell.
    std::size_t unacknowledged_bytes() const;

    /// Closes the connection. No hook is called afterwards.
    void close();

    /// Closes the connection with a reset, so that the peer detects that bytes
    /// were lost.
    void reset();

    /// Sends the buffered bytes, shuts down the sending side, and closes when
    /// the peer has closed, the close timeout has expired, or the peer accepts
    /// no more bytes. Closing immediately while unread input is pending would
    /// reset the connection, and the peer would lose the answer.
    ///
    /// `on_finished` is called once, when the connection has ended, unless it
    /// is closed before.
    void
    close_gracefully(std::function<void(close_report const&)> on_finished = {});

    bool is_open() const
    {
        return m_socket >= 0;
    }

private:
    tcp_stream(runtime::event_loop& loop, int socket, hooks callbacks);

    void watch();
    void handle_readable();
    void handle_writable();
    void flush();
    void end(connection_end reason);
    void wait_for_close(std::size_t unsent_before, model::milliseconds stalled);

    runtime::event_loop& m_loop;
    int m_socket = -1;
    hooks m_hooks;
    event* m_read = nullptr;
    event* m_write = nullptr;
    evbuffer* m_unsent = nullptr;
    runtime::timer_handle m_timer;
    bool m_connecting = false;
    bool m_finishing = false;
    std::size_t m_late_bytes = 0;
    std::function<void(close_report const&)> m_on_finished;
};

} // namespace caperjunction::proxy

#endif
