#include "net/peer_connection.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>
#include <vector>

namespace caperjunction::net {
namespace {

// A hello with the longest name and both proofs needs less than half of it.
constexpr std::size_t max_unauthenticated_frame_bytes = 1'024;

std::size_t read_length(std::array<std::uint8_t, frame_prefix_bytes> prefix)
{
    constexpr unsigned byte_bits = 8;
    std::size_t length = 0;
    for (std::size_t index = prefix.size(); index > 0; --index) {
        length = (length << byte_bits) | prefix[index - 1];
    }
    return length;
}

// Without TCP_NODELAY, heartbeats and claims, which are small, wait for more
// data to send.
void set_no_delay(evutil_socket_t socket)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

peer_connection::peer_connection(bufferevent* socket,
                                 peer_link_counters& counters)
    : m_socket(socket)
    , m_counters(counters)
    , m_max_frame_bytes(max_unauthenticated_frame_bytes)
{
}

peer_connection::~peer_connection()
{
    bufferevent_free(m_socket);
}

void peer_connection::open(callbacks calls)
{
    m_calls = std::move(calls);
    m_open = true;
    bufferevent_setcb(m_socket, handle_read, nullptr, handle_event, this);
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    if (bufferevent_getfd(m_socket) >= 0) {
        set_no_delay(bufferevent_getfd(m_socket));
    }
}

bool peer_connection::connect(model::endpoint const& to)
{
    bool const is_ipv6 = to.address.find(':') != std::string::npos;
    std::string const host = is_ipv6 ? '[' + to.address + ']' : to.address;
    std::string const text = host + ':' + std::to_string(to.port);
    sockaddr_storage address{};
    int size = sizeof address;
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    return evutil_parse_sockaddr_port(text.c_str(), raw, &size) == 0
           && bufferevent_socket_connect(m_socket, raw, size) == 0;
}

void peer_connection::close()
{
    m_open = false;
    bufferevent_disable(m_socket, EV_READ | EV_WRITE);
    bufferevent_setcb(m_socket, nullptr, nullptr, nullptr, nullptr);
}

void peer_connection::send(std::string const& bytes)
{
    m_counters.bytes_sent += bytes.size();
    bufferevent_write(m_socket, bytes.data(), bytes.size());
}

std::size_t peer_connection::queued_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_socket));
}

void peer_connection::handle_read(bufferevent*, void* self)
{
    // The owner may release the connection while it handles a frame.
    auto const alive = static_cast<peer_connection*>(self)->shared_from_this();
    while (alive->m_open && alive->read_frame()) {
    }
}

bool peer_connection::read_frame()
{
    evbuffer* const input = bufferevent_get_input(m_socket);
    std::array<std::uint8_t, frame_prefix_bytes> prefix{};
    if (evbuffer_copyout(input, prefix.data(), prefix.size())
        < static_cast<ev_ssize_t>(prefix.size())) {
        return false;
    }
    std::size_t const length = read_length(prefix);
    if (length > m_max_frame_bytes) {
        ++m_counters.bad_frames;
        model::error const error(model::error_kind::too_large,
                                 "a peer sent a frame of "
                                     + std::to_string(length) + " bytes",
                                 "run the same version on all hosts, and let "
                                 "only hosts reach the peer port");
        end(&error);
        return false;
    }
    if (evbuffer_get_length(input) < frame_prefix_bytes + length) {
        return false;
    }
    evbuffer_drain(input, frame_prefix_bytes);
    std::vector<std::uint8_t> bytes(length);
    evbuffer_remove(input, bytes.data(), bytes.size());
    m_counters.bytes_received += frame_prefix_bytes + length;
    peer_frame frame;
    try {
        frame = decode(bytes.data(), bytes.size());
    } catch (model::error const& error) {
        ++m_counters.bad_frames;
        end(&error);
        return false;
    }
    m_calls.frame(frame);
    return true;
}

void peer_connection::handle_event(bufferevent*, short what, void* self)
{
    auto const alive = static_cast<peer_connection*>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        set_no_delay(bufferevent_getfd(alive->m_socket));
        if (alive->m_calls.connected) {
            alive->m_calls.connected();
        }
        return;
    }
    alive->end(nullptr);
}

void peer_connection::end(model::error const* error)
{
    if (!m_open) {
        return;
    }
    close();
    m_calls.ended(error);
}

} // namespace caperjunction::net
