#include "net/peer_acceptor.hpp"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>
#include <variant>

namespace caperjunction::net {
namespace {

constexpr int listen_backlog = 512;

sockaddr_storage parse_address(model::endpoint const& endpoint, int& size)
{
    bool const is_ipv6 = endpoint.address.find(':') != std::string::npos;
    std::string const host =
        is_ipv6 ? '[' + endpoint.address + ']' : endpoint.address;
    std::string const text = host + ':' + std::to_string(endpoint.port);
    sockaddr_storage address{};
    size = sizeof address;
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    // The parser rejects port 0; without a port it leaves the port at 0.
    std::string const parsed = endpoint.port == 0 ? host : text;
    if (evutil_parse_sockaddr_port(parsed.c_str(), raw, &size) != 0) {
        throw model::error(model::error_kind::bad_settings,
                           "'" + text + "' is not a valid listen address",
                           "give a numeric address for peers");
    }
    return address;
}

} // namespace

peer_acceptor::peer_acceptor(runtime::event_loop& loop,
                             peer_link_settings const& settings,
                             peer_link_counters& counters,
                             callbacks calls)
    : m_loop(loop)
    , m_settings(settings)
    , m_counters(counters)
    , m_calls(std::move(calls))
{
    int size = 0;
    auto address = parse_address(settings.listen, size);
    constexpr unsigned options =
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    m_listener = evconnlistener_new_bind(loop.base(),
                                         handle_accept,
                                         this,
                                         options,
                                         listen_backlog,
                                         reinterpret_cast<sockaddr*>(&address),
                                         size);
    if (m_listener == nullptr) {
        throw model::error(model::error_kind::bad_settings,
                           "can't listen for peers on "
                               + settings.listen.address + ':'
                               + std::to_string(settings.listen.port),
                           "give a free port and an address of this host");
    }
}

peer_acceptor::~peer_acceptor()
{
    for (auto& [number, each] : m_accepted) {
        each.connection->close();
    }
    evconnlistener_free(m_listener);
}

std::uint16_t peer_acceptor::port() const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    getsockname(evconnlistener_get_fd(m_listener), raw, &size);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

void peer_acceptor::handle_accept(
    evconnlistener*, int socket, sockaddr*, int, void* self)
{
    static_cast<peer_acceptor*>(self)->accept(socket);
}

void peer_acceptor::accept(int socket)
{
    // Any process that reaches the port can open connections. Without a
    // limit they use up the file descriptors that callers need.
    if (m_accepted.size() >= m_settings.max_accepted) {
        evutil_closesocket(socket);
        return;
    }
    std::uint64_t const number = ++m_last;
    accepted& added = m_accepted[number];
    added.opened_at = m_loop.now();
    added.received_at = m_loop.now();
    added.connection = std::make_shared<peer_connection>(
        bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE),
        m_counters);
    peer_connection::callbacks calls;
    calls.frame = [this, number](peer_frame const& frame) {
        handle(number, frame);
    };
    calls.ended = [this, number](model::error const* error) {
        std::string const host = m_accepted.at(number).handshake.dialer;
        drop(number);
        if (error != nullptr) {
            m_calls.failed(host, *error);
        }
    };
    added.connection->open(std::move(calls));
    added.handshake.challenge_nonce = make_nonce();
    added.connection->send(
        encode(peer_challenge{added.handshake.challenge_nonce}));
}

void peer_acceptor::handle(std::uint64_t number, peer_frame const& frame)
{
    accepted& from = m_accepted.at(number);
    from.received_at = m_loop.now();
    if (auto const* hello = std::get_if<peer_hello>(&frame)) {
        handle_hello(number, *hello);
    } else if (!from.authenticated) {
        refuse(number,
               "",
               "sent a message before it authenticated",
               "find out which process connects to the peer port");
    } else if (auto const* ping = std::get_if<peer_ping>(&frame)) {
        from.connection->send(encode(peer_pong{ping->number}));
    } else if (auto const* message = std::get_if<fleet::peer_message>(&frame)) {
        // Copied, because the receiver may unlist the peer, which destroys
        // its entry.
        std::string const host = from.handshake.dialer;
        m_calls.received(host, *message);
    }
}

void peer_acceptor::handle_hello(std::uint64_t number, peer_hello const& hello)
{
    accepted& from = m_accepted.at(number);
    from.handshake.hello_nonce = hello.nonce;
    from.handshake.dialer = hello.host;
    from.handshake.acceptor = m_settings.host;
    auto const expected =
        make_proof(m_settings.secret, proof_side::dialer, from.handshake);
    if (from.authenticated || !equal_proofs(hello.proof, expected)) {
        refuse(number,
               hello.host,
               "does not know the secret",
               "give all hosts the same peer secret");
        return;
    }
    if (!m_calls.is_listed(hello.host)) {
        refuse(number,
               hello.host,
               "is not in the platform's list of hosts",
               "wait until the platform lists it");
        return;
    }
    from.authenticated = true;
    from.connection->set_max_frame_bytes(m_settings.max_frame_bytes);
    from.connection->send(encode(peer_welcome{
        make_proof(m_settings.secret, proof_side::acceptor, from.handshake)}));
}

void peer_acceptor::refuse(std::uint64_t number,
                           std::string const& host,
                           char const* reason,
                           char const* remedy)
{
    ++m_counters.refused_handshakes;
    drop(number);
    m_calls.failed(
        host,
        model::error(model::error_kind::unauthenticated,
                     "a connection to the peer port, '" + host + "', " + reason,
                     remedy));
}

void peer_acceptor::drop(std::uint64_t number)
{
    auto const entry = m_accepted.find(number);
    entry->second.connection->close();
    m_accepted.erase(entry);
}

void peer_acceptor::drop_unlisted()
{
    for (auto entry = m_accepted.begin(); entry != m_accepted.end();) {
        auto const current = entry++;
        accepted const& each = current->second;
        if (each.authenticated && !m_calls.is_listed(each.handshake.dialer)) {
            drop(current->first);
        }
    }
}

void peer_acceptor::tick()
{
    auto const now = m_loop.now();
    for (auto entry = m_accepted.begin(); entry != m_accepted.end();) {
        auto const current = entry++;
        accepted const& each = current->second;
        bool const late = !each.authenticated
                          && now - each.opened_at >= m_settings.connect_timeout;
        // The dialer sends pings and detects silence first. This limit only
        // frees connections whose dialer is gone.
        bool const silent =
            now - each.received_at >= 2 * m_settings.silence_limit;
        if (late || silent) {
            drop(current->first);
        }
    }
}

} // namespace caperjunction::net
