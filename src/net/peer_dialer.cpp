#include "net/peer_dialer.hpp"

#include <event2/bufferevent.h>

#include <utility>
#include <variant>

namespace caperjunction::net {

peer_dialer::peer_dialer(std::string peer,
                         model::endpoint address,
                         runtime::event_loop& loop,
                         peer_link_settings const& settings,
                         peer_link_counters& counters,
                         callbacks const& calls)
    : m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_loop(loop)
    , m_settings(settings)
    , m_counters(counters)
    , m_calls(calls)
{
}

void peer_dialer::set_persistent(bool persistent)
{
    m_is_persistent = persistent;
    if (persistent && m_stage == stage::idle) {
        connect();
    }
}

void peer_dialer::set_address(model::endpoint const& address)
{
    if (address == m_address) {
        return;
    }
    m_address = address;
    if (m_stage != stage::idle) {
        drop_connection();
        connect();
    }
}

std::size_t peer_dialer::queued_bytes() const
{
    return m_pending_bytes
           + (m_connection != nullptr ? m_connection->queued_bytes() : 0);
}

// Bounds the memory that a slow or stopped peer uses. The sender learns
// immediately that the message was rejected.
bool peer_dialer::send(std::string const& bytes)
{
    if (queued_bytes() + bytes.size() > m_settings.max_queued_bytes) {
        ++m_counters.full_queues;
        return false;
    }
    m_used_at = m_loop.now();
    if (m_stage == stage::ready) {
        m_connection->send(bytes);
        return true;
    }
    m_pending.push_back(bytes);
    m_pending_bytes += bytes.size();
    if (m_stage == stage::idle) {
        connect();
    }
    return true;
}

void peer_dialer::connect()
{
    m_stage = stage::connecting;
    m_deadline = m_loop.now() + m_settings.connect_timeout;
    m_connection = std::make_shared<peer_connection>(
        bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE),
        m_counters);
    peer_connection::callbacks calls;
    calls.connected = [this] {
        m_stage = stage::authenticating;
    };
    calls.frame = [this](peer_frame const& frame) {
        handle(frame);
    };
    calls.ended = [this](model::error const* error) {
        handle_loss(error);
    };
    m_connection->open(std::move(calls));
    if (!m_connection->connect(m_address)) {
        model::error const error(model::error_kind::bad_list,
                                 "'" + m_address.address
                                     + "' is not a valid address to connect to",
                                 "publish a numeric address and a port");
        handle_loss(&error);
    }
}

void peer_dialer::handle(peer_frame const& frame)
{
    m_received_at = m_loop.now();
    if (auto const* challenge = std::get_if<peer_challenge>(&frame)) {
        handle_challenge(*challenge);
    } else if (auto const* welcome = std::get_if<peer_welcome>(&frame)) {
        handle_welcome(*welcome);
    }
}

void peer_dialer::handle_challenge(peer_challenge const& challenge)
{
    if (m_stage != stage::authenticating
        || !m_handshake.challenge_nonce.empty()) {
        return;
    }
    m_handshake.challenge_nonce = challenge.nonce;
    m_handshake.hello_nonce = make_nonce();
    m_handshake.dialer = m_settings.host;
    m_handshake.acceptor = m_peer;
    peer_hello hello;
    hello.host = m_settings.host;
    hello.nonce = m_handshake.hello_nonce;
    hello.proof =
        make_proof(m_settings.secret, proof_side::dialer, m_handshake);
    m_connection->send(encode(hello));
}

// Without this check, a process that takes over a peer's address receives the
// requests that are handed over to that peer.
void peer_dialer::handle_welcome(peer_welcome const& welcome)
{
    bool const hello_sent =
        m_stage == stage::authenticating && !m_handshake.hello_nonce.empty();
    auto const expected =
        make_proof(m_settings.secret, proof_side::acceptor, m_handshake);
    if (!hello_sent || !equal_proofs(welcome.proof, expected)) {
        ++m_counters.refused_handshakes;
        model::error const error(model::error_kind::unauthenticated,
                                 "the host at the address of " + m_peer
                                     + " does not know the secret",
                                 "give all hosts the same peer secret");
        handle_loss(&error);
        return;
    }
    m_stage = stage::ready;
    m_reported_connected = true;
    m_used_at = m_loop.now();
    m_next_ping = m_loop.now() + m_settings.ping_period;
    for (std::string const& bytes : std::exchange(m_pending, {})) {
        m_connection->send(bytes);
    }
    m_pending_bytes = 0;
    m_calls.connected(m_peer);
}

void peer_dialer::drop_connection()
{
    if (m_connection != nullptr) {
        m_connection->close();
        m_connection.reset();
    }
    m_handshake = {};
}

void peer_dialer::handle_loss(model::error const* error)
{
    bool const was_ready = m_stage == stage::ready;
    drop_connection();
    if (error != nullptr) {
        m_calls.failed(m_peer, *error);
    }
    if (was_ready) {
        connect();
        return;
    }
    // Queued messages are outdated by the time the next attempt succeeds;
    // their senders have their own timeouts.
    m_pending.clear();
    m_pending_bytes = 0;
    m_stage = stage::waiting;
    m_deadline = m_loop.now() + m_settings.reconnect_delay;
    if (std::exchange(m_reported_connected, false)) {
        m_calls.disconnected(m_peer);
    }
}

void peer_dialer::tick()
{
    auto const now = m_loop.now();
    if (m_stage == stage::waiting && now >= m_deadline) {
        m_stage = stage::idle;
        if (m_is_persistent || !m_pending.empty()) {
            connect();
        }
    } else if ((m_stage == stage::connecting
                || m_stage == stage::authenticating)
               && now >= m_deadline) {
        model::error const error(model::error_kind::timed_out,
                                 "no connection to " + m_peer + " in time",
                                 "check that its peer port is reachable");
        handle_loss(&error);
    } else if (m_stage == stage::ready) {
        if (now - m_received_at >= m_settings.silence_limit) {
            ++m_counters.silent_connections;
            handle_loss(nullptr);
        } else if (!m_is_persistent
                   && now - m_used_at >= m_settings.idle_timeout) {
            drop_connection();
            m_stage = stage::idle;
            m_reported_connected = false;
        } else if (now >= m_next_ping) {
            m_next_ping = now + m_settings.ping_period;
            m_connection->send(encode(peer_ping{++m_last_ping}));
        }
    }
}

} // namespace caperjunction::net
