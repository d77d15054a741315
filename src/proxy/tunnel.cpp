#include "proxy/tunnel.hpp"

#include "proxy/tunnel_frames.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time in which the other host sends its request after it has connected.
constexpr model::milliseconds request_timeout{1'000};

/// Bytes that may be buffered for a slow side before reading from the other one
/// is paused.
constexpr std::size_t max_unsent = 65'536;

} // namespace

tunnel::tunnel(relay_context& context,
               std::function<void(tunnel const*)> on_ended)
    : m_context(context)
    , m_on_ended(std::move(on_ended))
{
}

void tunnel::serve(int socket)
{
    // The hooks keep this tunnel alive until its connections have ended.
    auto const self = shared_from_this();
    m_host = tcp_stream::adopt(m_context.loop,
                               socket,
                               {nullptr,
                                [self](std::string_view bytes) {
                                    self->handle_request(bytes);
                                },
                                [self](connection_end reason) {
                                    self->end_host(reason);
                                },
                                [self] {
                                    if (self->m_upstream) {
                                        self->m_upstream->enable_reading(true);
                                    }
                                }});
    m_request_timer = m_context.loop.after(request_timeout, [self] {
        self->refuse(tunnel_status::refused);
    });
}

void tunnel::handle_request(std::string_view bytes)
{
    if (m_is_established) {
        forward(m_host, m_upstream, bytes);
        return;
    }
    m_request.append(bytes);
    auto const size = tunnel_message_size(m_request);
    if (!size || (*size <= max_tunnel_message && m_request.size() < *size)) {
        return;
    }
    auto const request =
        *size > max_tunnel_message
            ? std::nullopt
            : decode_tunnel_request(m_request.substr(0, *size));
    if (!request || m_upstream || m_request.size() > *size) {
        refuse(tunnel_status::refused);
        return;
    }
    m_has_frames = request->reads_frames;
    connect(*request);
}

void tunnel::connect(tunnel_request const& request)
{
    m_context.loop.cancel(m_request_timer);
    auto const known = m_context.directory.find(request.upstream);
    // The other host has read an older or a newer entry: the upstream may have
    // other software than it believes.
    bool const is_other_start =
        known && request.started != 0
        && known->description.started != request.started;
    if (m_context.is_stopping || known == nullptr || is_other_start) {
        refuse(tunnel_status::refused);
        return;
    }
    if (known->link.is_lost()) {
        refuse(tunnel_status::unreachable);
        return;
    }
    auto const self = shared_from_this();
    m_upstream = tcp_stream::connect(
        m_context.loop,
        known->description.at,
        m_context.settings.connect_timeout,
        {[self] {
             self->m_is_established = true;
             self->m_host->write(encode_tunnel_reply(
                 {tunnel_status::established, self->m_has_frames}));
         },
         [self](std::string_view bytes) {
             self->forward(self->m_upstream,
                           self->m_host,
                           self->m_has_frames ? encode_tunnel_bytes(bytes)
                                              : bytes);
         },
         [self](connection_end reason) {
             self->end_upstream(reason);
         },
         [self] {
             self->m_host->enable_reading(true);
         }});
}

void tunnel::forward(std::shared_ptr<tcp_stream> const& from,
                     std::shared_ptr<tcp_stream> const& to,
                     std::string_view bytes)
{
    to->write(bytes);
    if (to->unsent_bytes() > max_unsent) {
        from->enable_reading(false);
    }
}

void tunnel::refuse(tunnel_status status)
{
    auto const guard = shared_from_this();
    m_context.loop.cancel(m_request_timer);
    m_host->write(encode_tunnel_reply({status, false}));
    end_upstream(connection_end::closed);
}

void tunnel::end_host(connection_end reason)
{
    auto const guard = shared_from_this();
    m_context.loop.cancel(m_request_timer);
    if (m_upstream) {
        if (reason == connection_end::closed) {
            m_upstream->close();
        } else {
            m_upstream->reset();
        }
    }
    notify_ended();
}

void tunnel::end_upstream(connection_end reason)
{
    auto const guard = shared_from_this();
    if (m_upstream) {
        m_upstream->close();
    }
    if (!m_is_established && reason == connection_end::unreachable) {
        m_host->write(encode_tunnel_reply({tunnel_status::unreachable, false}));
        reason = connection_end::closed;
    }
    if (reason != connection_end::closed) {
        m_host->reset();
        notify_ended();
        return;
    }
    if (m_is_established && m_has_frames) {
        m_host->write(encode_tunnel_end());
    }
    // What the upstream has sent may still be on its way to the other host.
    m_host->close_gracefully([guard](close_report const&) {
        guard->notify_ended();
    });
}

void tunnel::notify_ended()
{
    auto const callback = std::exchange(m_on_ended, nullptr);
    if (callback) {
        callback(this);
    }
}

void tunnel::close()
{
    auto const guard = shared_from_this();
    m_on_ended = nullptr;
    m_context.loop.cancel(m_request_timer);
    m_host->close();
    if (m_upstream) {
        m_upstream->close();
    }
}

} // namespace caperjunction::proxy
