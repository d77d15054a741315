#ifndef CAPERJUNCTION_NET_PEER_LINK_HPP
#define CAPERJUNCTION_NET_PEER_LINK_HPP

#include "fleet/peer_message.hpp"
#include "model/error.hpp"
#include "model/host.hpp"
#include "net/peer_link_settings.hpp"
#include "runtime/event_loop.hpp"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::net {

/// Connections between this host and its peers.
///
/// Each host sends over connections that it opened and receives over those
/// that peers opened. Both ends prove that they know the shared secret before
/// any other frame is accepted.
///
/// Thread safety: none; used only by the thread that runs `loop`.
class peer_link
{
public:
    /// Starts to listen. `loop` must outlive this object.
    ///
    /// \throws model::error (bad_settings) if the address cannot be bound or
    /// the secret is too short.
    peer_link(runtime::event_loop& loop, peer_link_settings settings);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Sets the hosts that the platform lists. Closes connections of other
    /// hosts.
    void set_hosts(std::vector<model::host> const& hosts);

    /// Sets the hosts whose connections stay open; others are closed when
    /// idle.
    void set_persistent_peers(std::vector<std::string> const& hosts);

    /// Sends to a listed host and connects if necessary. Returns false if the
    /// host isn't listed or its queue is full; true does not guarantee
    /// delivery.
    bool send(std::string const& host, fleet::peer_message const& message);

    bool is_connected(std::string const& host) const;

    /// Returns the unsent bytes to that host, for back pressure on long
    /// answers.
    std::size_t queued_bytes(std::string const& host) const;

    /// Returns the listening port, which the kernel chooses if the setting is
    /// 0.
    std::uint16_t port() const;

    peer_link_counters const& counters() const;

    sigc::signal<void(std::string const&, fleet::peer_message const&)> received;
    /// A connection is ready. Messages sent over an earlier one may be lost.
    sigc::signal<void(std::string const&)> connected;
    /// A new connection failed too, or the host is no longer listed.
    sigc::signal<void(std::string const&)> disconnected;
    /// For the log: a connection ended with an error or was refused. The name
    /// is the one that the peer claims; it may be empty.
    sigc::signal<void(std::string const&, model::error const&)> failed;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::net

#endif
