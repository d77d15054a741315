#ifndef CAPERJUNCTION_NET_PEER_DIALER_HPP
#define CAPERJUNCTION_NET_PEER_DIALER_HPP

#include "fleet/peer_message.hpp"
#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "net/peer_connection.hpp"
#include "net/peer_link_settings.hpp"
#include "net/peer_proof.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace caperjunction::net {

/// Keeps up the connection from this host to one peer, over which all
/// messages to that peer go.
///
/// Something between two hosts may forget a connection, so that it stays
/// open and carries nothing. One notices it as pings without an answer. That
/// condemns the connection only: a fresh one is made at once, and only if
/// that fails too is the peer told of as disconnected.
///
/// Thread safety: none; used only by the thread that runs its loop.
class peer_dialer
{
public:
    struct callbacks
    {
        std::function<void(std::string const&)> connected;
        std::function<void(std::string const&)> disconnected;
        std::function<void(std::string const&, model::error const&)> failed;
    };

    /// \pre All references outlive this object.
    peer_dialer(std::string peer,
                model::endpoint address,
                runtime::event_loop& loop,
                peer_link_settings const& settings,
                peer_link_counters& counters,
                callbacks const& calls);

    /// Whether the connection is to be kept up though nothing is sent.
    void set_persistent(bool persistent);

    /// A peer that is replaced comes back at another address.
    void set_address(model::endpoint const& address);

    /// False if the queue is full.
    bool send(std::string const& bytes);

    /// To be called every `tick_period`.
    void tick();

    bool is_connected() const
    {
        return m_stage == stage::ready;
    }

    std::size_t queued_bytes() const;

private:
    enum class stage : std::uint8_t
    {
        idle,
        connecting,
        authenticating,
        ready,
        /// The last try failed; the next one is due later.
        waiting,
    };

    void connect();
    void handle(peer_frame const& frame);
    void handle_challenge(peer_challenge const& challenge);
    void handle_welcome(peer_welcome const& welcome);
    void handle_loss(model::error const* error);
    void drop_connection();

    std::string m_peer;
    model::endpoint m_address;
    runtime::event_loop& m_loop;
    peer_link_settings const& m_settings;
    peer_link_counters& m_counters;
    callbacks const& m_calls;
    std::shared_ptr<peer_connection> m_connection;
    peer_handshake m_handshake;
    stage m_stage = stage::idle;
    bool m_is_persistent = false;
    /// Told of as connected, and not as disconnected since.
    bool m_reported_connected = false;
    std::deque<std::string> m_pending;
    std::size_t m_pending_bytes = 0;
    std::uint64_t m_last_ping = 0;
    model::time_point m_deadline{};
    model::time_point m_received_at{};
    model::time_point m_used_at{};
    model::time_point m_next_ping{};
};

} // namespace caperjunction::net

#endif
