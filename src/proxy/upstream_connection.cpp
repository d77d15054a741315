#include "proxy/upstream_connection.hpp"

#include "proxy/tunnel_codec.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Used if the upstream states no timeout. Short enough for common servers,
/// which close after five seconds or more.
constexpr model::milliseconds default_keep_alive{4'000};
/// The upstream may close between the send and the arrival of a request.
/// Whether a request that crosses the close has run is unknown.
constexpr model::milliseconds keep_alive_margin{500};

constexpr std::string_view timeout_key = "timeout=";

/// Of an answer to another request. The right one can't come before its end.
constexpr std::size_t max_skipped_bytes = 262'144;

} // namespace

upstream_connection::upstream_connection(runtime::event_loop& loop,
                                         model::endpoint at)
    : m_loop(loop)
    , m_at(std::move(at))
    , m_reader(HTTP_RESPONSE,
               {[this](message_head&& head) {
                    record_keep_alive(head);
                    auto const callback = m_hooks.on_head;
                    if (callback) {
                        callback(std::move(head));
                    }
                },
                [this](std::string_view bytes) {
                    if (m_skipping) {
                        m_skipped_bytes += bytes.size();
                        return;
                    }
                    auto const callback = m_hooks.on_body;
                    if (callback) {
                        callback(bytes);
                    }
                },
                [this] {
                    end_answer();
                }})
    , m_keep_alive(default_keep_alive)
{
}

upstream_connection::upstream_connection(runtime::event_loop& loop,
                                         model::endpoint peer,
                                         tunnel_request request)
    : upstream_connection(loop, peer)
{
    m_peer = std::move(peer);
    m_tunnel = std::move(request);
}

upstream_connection::~upstream_connection()
{
    close();
}

void upstream_connection::send(std::string const& request,
                               bool is_head_request,
                               model::milliseconds connect_timeout,
                               answer_hooks callbacks)
{
    m_is_available = false;
    m_skipping = false;
    m_hooks = std::move(callbacks);
    m_reader.expect_no_body(is_head_request);
    if (m_stream == nullptr) {
        connect(connect_timeout);
    }
    if (m_peer && !m_connected) {
        m_unsent_request = request;
        return;
    }
    m_stream->write(request);
}

void upstream_connection::open(model::milliseconds connect_timeout,
                               answer_hooks callbacks)
{
    m_is_probe = true;
    m_is_available = false;
    m_hooks = std::move(callbacks);
    connect(connect_timeout);
}

void upstream_connection::connect(model::milliseconds timeout)
{
    m_stream = tcp_stream::connect(m_loop,
                                   m_at,
                                   timeout,
                                   {[this] {
                                        if (!m_peer) {
                                            handle_connected();
                                        }
                                    },
                                    [this](std::string_view bytes) {
                                        if (!m_peer) {
                                            handle_data(bytes);
                                        } else if (m_connected) {
                                            handle_frames(bytes);
                                        } else {
                                            handle_reply(bytes);
                                        }
                                    },
                                    [this](connection_end reason) {
                                        handle_closed(reason);
                                    },
                                    nullptr});
    if (!m_peer) {
        return;
    }
    m_stream->write(encode_tunnel_request(m_tunnel));
    // The other host needs as long to connect to the upstream.
    m_tunnel_timer = m_loop.after(timeout * 2, [this] {
        fail(answer_fault::peer_unreachable);
    });
}

void upstream_connection::handle_connected()
{
    auto const guard = shared_from_this();
    m_connected = true;
    m_loop.cancel(m_tunnel_timer);
    auto const callback = m_hooks.on_connected;
    if (std::exchange(m_is_probe, false)) {
        m_is_available = true;
        m_idle_since = m_loop.now();
        m_hooks = {};
    }
    if (callback) {
        callback();
    }
}

void upstream_connection::handle_closed(connection_end reason)
{
    auto const guard = shared_from_this();
    bool const is_end_of_upstream = reason == connection_end::closed
                                    && m_connected
                                    && (!m_peer || m_frames.has_ended());
    bool const was_skipping = m_skipping;
    if (is_end_of_upstream && m_reader.feed_end() && !was_skipping) {
        return;
    }
    if (m_peer && !m_connected) {
        fail(answer_fault::peer_unreachable);
        return;
    }
    fail(reason == connection_end::unreachable ? answer_fault::unreachable
                                               : answer_fault::broken);
}

void upstream_connection::handle_reply(std::string_view bytes)
{
    auto const guard = shared_from_this();
    m_reply.append(bytes);
    auto const size = tunnel_message_size(m_reply);
    if (!size || (*size <= max_tunnel_message && m_reply.size() < *size)) {
        return;
    }
    auto const reply = *size > max_tunnel_message
                           ? std::nullopt
                           : decode_tunnel_reply(m_reply.substr(0, *size));
    if (!reply || reply->status != tunnel_status::established) {
        fail(reply && reply->status == tunnel_status::unreachable
                 ? answer_fault::unreachable
                 : answer_fault::peer_unreachable);
        return;
    }
    m_has_frames = reply->has_frames;
    std::string const after = std::exchange(m_reply, {}).substr(*size);
    handle_connected();
    if (m_stream && m_stream->is_open()) {
        m_stream->write(std::exchange(m_unsent_request, {}));
    }
    handle_frames(after);
}

void upstream_connection::handle_frames(std::string_view bytes)
{
    if (!m_has_frames) {
        handle_data(bytes);
        return;
    }
    auto const guard = shared_from_this();
    while (!bytes.empty() && m_stream && m_stream->is_open()) {
        handle_data(m_frames.next(bytes));
        if (m_frames.has_ended() && m_stream && m_stream->is_open()) {
            handle_closed(connection_end::closed);
            return;
        }
    }
}

void upstream_connection::handle_data(std::string_view bytes)
{
    auto const guard = shared_from_this();
    while (!bytes.empty() && m_stream && m_stream->is_open()) {
        if (m_is_available) {
            // Bytes after a complete answer belong to no request.
            close();
            return;
        }
        bytes.remove_prefix(m_reader.feed(bytes));
        if (m_reader.fault() != read_fault::none
            || m_skipped_bytes > max_skipped_bytes) {
            fail(answer_fault::malformed);
            return;
        }
    }
}

void upstream_connection::record_keep_alive(message_head const& head)
{
    m_is_reusable = m_is_reusable && head.keep_alive;
    std::string const* const line = head.find("Keep-Alive");
    std::size_t const at =
        line == nullptr ? std::string::npos : line->find(timeout_key);
    if (at == std::string::npos) {
        return;
    }
    std::string const text = line->substr(at + timeout_key.size());
    auto const value = parse_number(
        std::string_view(text).substr(0, text.find_first_not_of("0123456789")));
    if (value) {
        m_keep_alive = std::max(
            std::chrono::duration_cast<model::milliseconds>(
                std::chrono::seconds(std::min<std::uint64_t>(*value, 3'600)))
                - keep_alive_margin,
            model::milliseconds{0});
    }
}

void upstream_connection::skip_answer()
{
    m_skipping = true;
    m_skipped_bytes = 0;
    m_is_reusable = false;
}

void upstream_connection::end_answer()
{
    auto const guard = shared_from_this();
    if (m_skipping) {
        m_skipping = false;
        return;
    }
    // An upstream may answer before it has received the complete request and
    // then continue to read. The unsent rest would be parsed as the next
    // request.
    m_is_reusable = m_is_reusable && m_stream->unsent_bytes() == 0;
    m_is_available = true;
    m_idle_since = m_loop.now();
    auto const callbacks = std::exchange(m_hooks, {});
    if (!m_is_reusable) {
        close();
    }
    if (callbacks.on_end) {
        callbacks.on_end();
    }
}

void upstream_connection::fail(answer_fault fault)
{
    auto const guard = shared_from_this();
    auto const callbacks = std::exchange(m_hooks, {});
    close();
    if (callbacks.on_fault) {
        callbacks.on_fault(fault);
    }
}

void upstream_connection::enable_reading(bool enabled)
{
    if (m_stream) {
        m_stream->enable_reading(enabled);
    }
}

void upstream_connection::close()
{
    m_is_reusable = false;
    m_hooks = {};
    m_loop.cancel(m_tunnel_timer);
    if (m_stream) {
        m_stream->close();
    }
}

} // namespace caperjunction::proxy
