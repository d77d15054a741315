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

/// The connections between this host and its peers.
///
/// Each host sends over connections that it made itself and listens on those
/// that peers made. Both ends prove that they know the shared secret before
/// anything else is read.
///
/// Thread safety: none; used only by the thread that runs `loop`.
class peer_link
{
public:
    /// Starts to listen. `loop` must outlive this object.
    ///
    /// \throws model::error (bad_settings) if it can't listen or the secret
    /// is too short.
    peer_link(runtime::event_loop& loop, peer_link_settings settings);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Names and addresses of the hosts that the platform lists. Connections
    /// of others are closed.
    void set_hosts(std::vector<model::host> const& hosts);

    /// Connections to be kept up; others are closed when they fall idle.
    void set_persistent_peers(std::vector<std::string> const& hosts);

    /// Sends to a listed host, making a connection if there is none; false
    /// if it isn't listed or its queue is full. True promises nothing about
    /// delivery.
    bool send(std::string const& host, fleet::peer_message const& message);

    bool is_connected(std::string const& host) const;

    /// Unsent bytes to that host, for back pressure on long answers.
    std::size_t queued_bytes(std::string const& host) const;

    /// The port that it listens on; the kernel's choice if settings gave 0.
    std::uint16_t port() const;

    peer_link_counters const& counters() const;

    sigc::signal<void(std::string const&, fleet::peer_message const&)> received;
    /// A connection is ready. What was sent over an earlier one may be lost.
    sigc::signal<void(std::string const&)> connected;
    /// A fresh connection failed too, or the host is not listed any more.
    sigc::signal<void(std::string const&)> disconnected;
    /// For the log: a connection ended by a fault, or was refused. The name
    /// is what the far end says and may be empty.
    sigc::signal<void(std::string const&, model::error const&)> failed;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::net

#endif
