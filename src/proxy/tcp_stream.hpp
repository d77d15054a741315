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

/// What was left when a connection that this host closed is over.
struct close_report
{
    connection_end end = connection_end::closed;
    /// Bytes that the system had not taken.
    std::size_t unsent_bytes = 0;
    /// Bytes that came after this host had begun to close.
    std::size_t late_bytes = 0;
};

/// One TCP connection on the loop.
///
/// Writes what the socket takes at once: an event of a stream then costs one
/// read and one write, without a round through the loop.
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
        /// All that was written has been handed to the system.
        std::function<void()> on_drained;
    };

    /// Connects; ends as unreachable after `timeout`, and as unacknowledged
    /// where the other side falls silent.
    static std::shared_ptr<tcp_stream> connect(runtime::event_loop& loop,
                                               model::endpoint const& to,
                                               model::milliseconds timeout,
                                               hooks callbacks);

    /// Takes over an accepted socket.
    static std::shared_ptr<tcp_stream>
    adopt(runtime::event_loop& loop, int socket, hooks callbacks);

    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    /// Replaces the hooks, for the next user of a kept connection.
    void set_hooks(hooks callbacks);

    void write(std::string_view bytes);

    /// Stops or resumes reading; the other side's end isn't seen meanwhile.
    void enable_reading(bool enabled);

    /// Hands on what has come by now, without waiting for the loop. Hooks may
    /// be called before it returns.
    void read_available();

    /// Bytes that wait for the socket.
    std::size_t unsent_bytes() const;

    /// Ends the connection without a word; no hook is called any more.
    void close();

    /// Ends the connection so that the other side learns that bytes are lost.
    void reset();

    /// Sends what is left, says that nothing follows, and closes when the
    /// other side has closed too, has had time to, or takes nothing any more.
    /// Closing at once, with bytes of the caller unread, would reset the
    /// connection and the answer with it.
    ///
    /// `on_finished` is called once, when the connection is over, unless it
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
    void end(connection_end how);
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
