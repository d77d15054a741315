#ifndef CAPERJUNCTION_PROXY_UPSTREAM_CONNECTION_HPP
#define CAPERJUNCTION_PROXY_UPSTREAM_CONNECTION_HPP

#include "model/time.hpp"
#include "proxy/http_reader.hpp"
#include "proxy/message_head.hpp"
#include "proxy/tcp_stream.hpp"
#include "proxy/tunnel_codec.hpp"
#include "proxy/tunnel_frames.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Why no complete answer was received.
enum class answer_fault : std::uint8_t
{
    /// The upstream can't be reached; nothing was sent.
    unreachable,
    /// The host that should connect this one to the upstream can't be reached
    /// or refuses; nothing was sent.
    peer_unreachable,
    /// The connection failed after the request had been sent.
    broken,
    /// The bytes are not a valid answer.
    malformed,
};

/// Callbacks for one request.
struct answer_hooks
{
    std::function<void(message_head&&)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The answer is complete.
    std::function<void()> on_end;
    std::function<void(answer_fault)> on_fault;
    /// A new connection was established.
    std::function<void()> on_connected;
};

/// A connection to one upstream that carries one request at a time. It leads
/// through another host if one is given.
///
/// Thread safety: none; owned by the loop's task. Hooks may drop it.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(runtime::event_loop& loop, model::endpoint at);

    /// Leads to the upstream of `request` through the host whose tunnels are at
    /// `peer`.
    upstream_connection(runtime::event_loop& loop,
                        model::endpoint peer,
                        tunnel_request request);

    ~upstream_connection();
    upstream_connection(upstream_connection const&) = delete;
    upstream_connection& operator=(upstream_connection const&) = delete;

    /// Sends a request, as soon as the connection is established. \pre
    /// is_available().
    void send(std::string const& request,
              bool is_head_request,
              model::milliseconds connect_timeout,
              answer_hooks callbacks);

    /// Establishes the connection without a request. Afterwards it is
    /// available, and `callbacks.on_connected` is called. \pre is_available().
    void open(model::milliseconds connect_timeout, answer_hooks callbacks);

    /// Closes the connection, which cancels the upstream's work for the
    /// request.
    void close();

    /// Stops or resumes reading the answer.
    void enable_reading(bool enabled);

    /// Discards the current answer, which belongs to another request. The next
    /// one is parsed as the answer, and the connection is not reused. An answer
    /// that is too long to wait for its end is a fault.
    void skip_answer();

    /// Whether the connection can carry another request.
    bool is_available() const
    {
        return m_is_available && m_is_reusable;
    }

    bool is_open() const
    {
        return m_stream == nullptr || m_stream->is_open();
    }

    /// Returns the host that it leads through; no value: it is direct.
    std::optional<model::endpoint> const& peer() const
    {
        return m_peer;
    }

    /// Whether request bytes may have been sent to the upstream.
    bool has_sent() const
    {
        return m_connected;
    }

    model::time_point idle_since() const
    {
        return m_idle_since;
    }

    /// Time for which the upstream keeps the idle connection open.
    model::milliseconds keep_alive() const
    {
        return m_keep_alive;
    }

private:
    void connect(model::milliseconds timeout);
    void handle_connected();
    void handle_closed(connection_end reason);
    void handle_data(std::string_view bytes);
    void handle_reply(std::string_view bytes);
    void handle_frames(std::string_view bytes);
    void end_answer();
    void fail(answer_fault fault);
    void record_keep_alive(message_head const& head);

    runtime::event_loop& m_loop;
    model::endpoint m_at;
    std::optional<model::endpoint> m_peer;
    tunnel_request m_tunnel;
    std::shared_ptr<tcp_stream> m_stream;
    /// Until a tunnel is established: what its peer has replied so far, and the
    /// request that waits for it.
    std::string m_reply;
    std::string m_unsent_request;
    runtime::timer_handle m_tunnel_timer;
    /// Once it is established. Hosts of an earlier version send no frames; then
    /// no answer that ends with its connection is complete.
    bool m_has_frames = false;
    tunnel_frames m_frames;
    bool m_is_probe = false;
    http_reader m_reader;
    answer_hooks m_hooks;
    bool m_connected = false;
    bool m_is_available = true;
    bool m_is_reusable = true;
    bool m_skipping = false;
    std::size_t m_skipped_bytes = 0;
    model::time_point m_idle_since{};
    model::milliseconds m_keep_alive;
};

} // namespace caperjunction::proxy

#endif
