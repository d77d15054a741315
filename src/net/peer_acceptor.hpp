#ifndef CAPERJUNCTION_NET_PEER_ACCEPTOR_HPP
#define CAPERJUNCTION_NET_PEER_ACCEPTOR_HPP

#include "fleet/peer_message.hpp"
#include "model/time.hpp"
#include "net/peer_connection.hpp"
#include "net/peer_link_settings.hpp"
#include "net/peer_proof.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace caperjunction::net {

/// Accepts connections from peers and receives messages from authenticated
/// ones.
///
/// Thread safety: none; used only by the thread that runs its loop.
class peer_acceptor
{
public:
    struct callbacks
    {
        /// Returns whether the platform's list contains a host of that name.
        std::function<bool(std::string const&)> is_listed;
        std::function<void(std::string const&, fleet::peer_message const&)>
            received;
        std::function<void(std::string const&, model::error const&)> failed;
    };

    /// \throws model::error (bad_settings) if the address cannot be bound.
    /// \pre All references outlive this object.
    peer_acceptor(runtime::event_loop& loop,
                  peer_link_settings const& settings,
                  peer_link_counters& counters,
                  callbacks calls);
    ~peer_acceptor();
    peer_acceptor(peer_acceptor const&) = delete;
    peer_acceptor& operator=(peer_acceptor const&) = delete;

    /// Closes connections of hosts that are no longer listed.
    void drop_unlisted();

    /// Enforces timeouts. Call every `tick_period`.
    void tick();

    std::uint16_t port() const;

private:
    struct accepted
    {
        std::shared_ptr<peer_connection> connection;
        peer_handshake handshake;
        bool authenticated = false;
        model::time_point opened_at{};
        model::time_point received_at{};
    };

    static void
    handle_accept(evconnlistener*, int socket, sockaddr*, int, void* self);
    void accept(int socket);
    void handle(std::uint64_t number, peer_frame const& frame);
    void handle_hello(std::uint64_t number, peer_hello const& hello);
    void refuse(std::uint64_t number,
                std::string const& host,
                char const* reason,
                char const* remedy);
    void drop(std::uint64_t number);

    runtime::event_loop& m_loop;
    peer_link_settings const& m_settings;
    peer_link_counters& m_counters;
    callbacks m_calls;
    evconnlistener* m_listener = nullptr;
    std::map<std::uint64_t, accepted> m_accepted;
    std::uint64_t m_last = 0;
};

} // namespace caperjunction::net

#endif
