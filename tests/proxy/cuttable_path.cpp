#include "proxy/cuttable_path.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace caperjunction::test {
namespace {

constexpr int open_backlog = 128;
/// Connections that the system queues at a listener with a backlog of 0.
constexpr int queued_at_least = 1;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a socket bound to a port of loopback that it shares with others; 0:
/// any port.
int bound_socket(std::uint16_t port)
{
    int const result = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    int const yes = 1;
    setsockopt(result, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
    sockaddr_in const address = loopback(port);
    (void)bind(
        result, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    return result;
}

} // namespace

cuttable_path::cuttable_path(runtime::event_loop& loop, model::endpoint to)
    : m_loop(loop)
    , m_to(std::move(to))
    , m_reservation(bound_socket(0))
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(m_reservation, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    listen_with(open_backlog);
}

void cuttable_path::listen_with(int backlog)
{
    int const socket = bound_socket(m_port);
    // The library takes a backlog of 0 for a socket that listens already.
    (void)listen(socket, backlog);
    m_listener = evconnlistener_new(
        m_loop.base(),
        [](evconnlistener*,
           evutil_socket_t socket,
           sockaddr*,
           int,
           void* self) {
            static_cast<cuttable_path*>(self)->accept(socket);
        },
        this,
        LEV_OPT_CLOSE_ON_FREE,
        0,
        socket);
}

void cuttable_path::stop_listening()
{
    if (m_listener != nullptr) {
        evconnlistener_free(std::exchange(m_listener, nullptr));
    }
}

cuttable_path::~cuttable_path()
{
    for (int const socket : m_fillers) {
        close(socket);
    }
    for (link const& item : m_links) {
        item.near->close();
        item.far->close();
    }
    stop_listening();
    close(m_reservation);
}

void cuttable_path::set(path_state state)
{
    m_state = state;
    bool const passes = state != path_state::silent;
    for (link const& item : m_links) {
        if (state == path_state::resetting) {
            item.near->reset();
            item.far->reset();
        }
        item.near->enable_reading(passes);
        item.far->enable_reading(passes);
    }
    for (int const socket : std::exchange(m_fillers, {})) {
        close(socket);
    }
    stop_listening();
    if (state == path_state::open) {
        listen_with(open_backlog);
    } else if (state == path_state::silent) {
        listen_with(0);
        evconnlistener_disable(m_listener);
        fill_backlog();
    }
}

void cuttable_path::fill_backlog()
{
    sockaddr_in const address = loopback(m_port);
    for (int count = 0; count <= queued_at_least; ++count) {
        int const filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        // A connection beyond the queue stays in progress.
        (void)connect(filler,
                      reinterpret_cast<sockaddr const*>(&address),
                      sizeof address);
        m_fillers.push_back(filler);
    }
}

void cuttable_path::accept(int socket)
{
    using namespace std::chrono_literals;
    ++connections;

    struct ends
    {
        std::weak_ptr<proxy::tcp_stream> near;
        std::weak_ptr<proxy::tcp_stream> far;
    };

    auto const both = std::make_shared<ends>();
    auto const forward = [both](bool to_far) {
        return [both, to_far](std::string_view bytes) {
            if (auto const to = (to_far ? both->far : both->near).lock()) {
                to->write(bytes);
            }
        };
    };
    auto const end = [both](bool to_far) {
        return [both, to_far](proxy::connection_end how) {
            auto const to = (to_far ? both->far : both->near).lock();
            if (!to) {
                return;
            }
            if (how == proxy::connection_end::closed) {
                to->close_gracefully();
            } else {
                to->reset();
            }
        };
    };
    link made;
    made.far = proxy::tcp_stream::connect(
        m_loop, m_to, 1'000ms, {nullptr, forward(false), end(false), nullptr});
    made.near = proxy::tcp_stream::adopt(
        m_loop, socket, {nullptr, forward(true), end(true), nullptr});
    both->near = made.near;
    both->far = made.far;
    m_links.push_back(std::move(made));
}

} // namespace caperjunction::test
