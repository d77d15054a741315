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

/// Maintains the connection from this host to one peer, which carries all
/// messages to that peer.
///
/// A middlebox may lose its state of a connection, which then stays open but
/// carries no data. The symptom is unanswered pings. Silence ends only the
/// connection: a new one is opened immediately, and the peer is reported as
/// disconnected only if that one fails too.
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

    /// Sets whether the connection stays open while it is idle.
    void set_persistent(bool persistent);

    /// Sets the address, which changes when a peer is replaced. Reconnects
    /// unless idle.
    void set_address(model::endpoint const& address);

    /// Returns false if the queue is full.
    bool send(std::string const& bytes);

    /// Sends pings and enforces timeouts. Call every `tick_period`.
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
        /// The last attempt failed; the next one starts after a delay.
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
    /// Reported as connected, and not as disconnected since.
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
