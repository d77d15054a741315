#ifndef CAPERJUNCTION_NET_PEER_CONNECTION_HPP
#define CAPERJUNCTION_NET_PEER_CONNECTION_HPP

#include "model/error.hpp"
#include "net/peer_codec.hpp"
#include "net/peer_link_settings.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace caperjunction::net {

/// TCP connection that carries frames.
///
/// The owner may release it at any time, including from its callbacks.
///
/// Thread safety: none; used only by the thread that runs its loop.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct callbacks
    {
        std::function<void()> connected;
        std::function<void(peer_frame const&)> frame;
        /// Called at most once, as the last callback. Null if the peer closed
        /// the connection.
        std::function<void(model::error const*)> ended;
    };

    /// Takes ownership of `socket`. \pre counters outlives this object.
    peer_connection(bufferevent* socket, peer_link_counters& counters);
    ~peer_connection();
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    /// Starts reading and writing. \pre Owned by a shared_ptr.
    void open(callbacks calls);

    /// Connects to a numeric address; returns false if it is not numeric.
    bool connect(model::endpoint const& to);

    /// Stops reading and writing and disables all callbacks.
    void close();

    /// Sends bytes produced by `encode`.
    void send(std::string const& bytes);

    std::size_t queued_bytes() const;

    /// Sets the frame limit of an authenticated peer. Before authentication
    /// the limit is low, because a peer could fill the memory with frames
    /// that are never complete.
    void set_max_frame_bytes(std::size_t bytes)
    {
        m_max_frame_bytes = bytes;
    }

private:
    static void handle_read(bufferevent*, void* self);
    static void handle_event(bufferevent*, short what, void* self);
    bool read_frame();
    void end(model::error const* error);

    bufferevent* m_socket;
    peer_link_counters& m_counters;
    callbacks m_calls;
    std::size_t m_max_frame_bytes;
    bool m_open = false;
};

} // namespace caperjunction::net

#endif
