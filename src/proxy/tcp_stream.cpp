#include "proxy/tcp_stream.hpp"

#include "proxy/socket_address.hpp"
#include "proxy/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Bytes per read. Larger than any event; the buffer is shared by all
/// connections.
constexpr std::size_t read_bytes = 65'536;

} // namespace

tcp_stream::tcp_stream(runtime::event_loop& loop, int socket, hooks callbacks)
    : m_loop(loop)
    , m_socket(socket)
    , m_hooks(std::move(callbacks))
    , m_unsent(evbuffer_new())
{
}

tcp_stream::~tcp_stream()
{
    close();
    evbuffer_free(m_unsent);
}

std::shared_ptr<tcp_stream> tcp_stream::connect(runtime::event_loop& loop,
                                                model::endpoint const& to,
                                                model::milliseconds timeout,
                                                hooks callbacks)
{
    int const socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::shared_ptr<tcp_stream> result(
        new tcp_stream(loop, socket, std::move(callbacks)));
    auto const address = ipv4_address(to);
    bool ok = socket >= 0 && address;
    if (ok) {
        set_no_delay(socket);
        set_unacknowledged_timeout(socket);
        ok = ::connect(socket,
                       reinterpret_cast<sockaddr const*>(&*address),
                       sizeof *address)
                 == 0
             || errno == EINPROGRESS;
    }
    std::weak_ptr<tcp_stream> const weak = result;
    auto const fail = [weak] {
        if (auto const self = weak.lock()) {
            self->end(connection_end::unreachable);
        }
    };
    if (!ok) {
        loop.defer(fail);
        return result;
    }
    result->m_connecting = true;
    result->watch();
    event_add(result->m_write, nullptr);
    result->m_timer = loop.after(timeout, fail);
    return result;
}

std::shared_ptr<tcp_stream>
tcp_stream::adopt(runtime::event_loop& loop, int socket, hooks callbacks)
{
    std::shared_ptr<tcp_stream> result(
        new tcp_stream(loop, socket, std::move(callbacks)));
    set_no_delay(socket);
    result->watch();
    event_add(result->m_read, nullptr);
    return result;
}

void tcp_stream::watch()
{
    m_read = event_new(
        m_loop.base(),
        m_socket,
        EV_READ | EV_PERSIST,
        [](int, short, void* self) {
            static_cast<tcp_stream*>(self)->handle_readable();
        },
        this);
    m_write = event_new(
        m_loop.base(),
        m_socket,
        EV_WRITE,
        [](int, short, void* self) {
            static_cast<tcp_stream*>(self)->handle_writable();
        },
        this);
}

void tcp_stream::set_hooks(hooks callbacks)
{
    m_hooks = std::move(callbacks);
}

void tcp_stream::handle_readable()
{
    static std::array<char, read_bytes> s_bytes;
    auto const guard = shared_from_this();
    ssize_t const received = recv(m_socket, s_bytes.data(), s_bytes.size(), 0);
    if (received > 0) {
        m_late_bytes += m_finishing ? static_cast<std::size_t>(received) : 0;
        if (!m_finishing && m_hooks.on_data) {
            auto const callback = m_hooks.on_data;
            callback({s_bytes.data(), static_cast<std::size_t>(received)});
        }
        return;
    }
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    end(received == 0 ? connection_end::closed : classify_socket_error(errno));
}

void tcp_stream::handle_writable()
{
    auto const guard = shared_from_this();
    if (m_connecting) {
        if (take_socket_error(m_socket) != 0) {
            end(connection_end::unreachable);
            return;
        }
        m_connecting = false;
        m_loop.cancel(m_timer);
        event_add(m_read, nullptr);
        if (m_hooks.on_connected) {
            auto const callback = m_hooks.on_connected;
            callback();
        }
    }
    if (is_open()) {
        flush();
    }
}

void tcp_stream::flush()
{
    while (evbuffer_get_length(m_unsent) > 0) {
        if (evbuffer_write(m_unsent, m_socket) < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                end(classify_socket_error(errno));
                return;
            }
            event_add(m_write, nullptr);
            return;
        }
    }
    if (m_finishing) {
        shutdown(m_socket, SHUT_WR);
        return;
    }
    if (m_hooks.on_drained) {
        auto const callback = m_hooks.on_drained;
        callback();
    }
}

void tcp_stream::write(std::string_view bytes)
{
    if (!is_open() || bytes.empty()) {
        return;
    }
    if (!m_connecting && evbuffer_get_length(m_unsent) == 0) {
        ssize_t const sent =
            send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        // A failure is reported again when the socket is read.
    }
    if (bytes.empty()) {
        return;
    }
    evbuffer_add(m_unsent, bytes.data(), bytes.size());
    if (!m_connecting) {
        event_add(m_write, nullptr);
    }
}

void tcp_stream::enable_reading(bool enabled)
{
    if (m_read == nullptr || m_connecting) {
        return;
    }
    if (enabled) {
        event_add(m_read, nullptr);
    } else {
        event_del(m_read);
    }
}

void tcp_stream::read_available()
{
    if (is_open() && !m_connecting) {
        handle_readable();
    }
}

std::size_t tcp_stream::unsent_bytes() const
{
    return evbuffer_get_length(m_unsent);
}

std::size_t tcp_stream::unacknowledged_bytes() const
{
    int bytes = 0;
    bool const is_known = is_open() && ioctl(m_socket, SIOCOUTQ, &bytes) == 0;
    return is_known ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace caperjunction::proxy
