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

/// One TCP connection that carries frames.
///
/// Its owner may drop it at any moment, within its callbacks too.
/// Thread safety: none; used only by the thread that runs its loop.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct callbacks
    {
        std::function<void()> connected;
        std::function<void(peer_frame const&)> frame;
        /// Called once at most; nothing follows. Null if the far end closed.
        std::function<void(model::error const*)> ended;
    };

    /// Takes `socket` over. \pre counters outlives this object.
    peer_connection(bufferevent* socket, peer_link_counters& counters);
    ~peer_connection();
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    /// Begins to read and write. \pre Owned by a shared_ptr.
    void open(callbacks calls);

    /// Connects to a numeric address; false if it is none.
    bool connect(model::endpoint const& to);

    /// Writes nothing more and reads nothing more.
    void close();

    /// Writes bytes made by `encode`.
    void send(std::string const& bytes);

    std::size_t queued_bytes() const;

    /// Before a peer has proven itself, only short frames are taken: it
    /// could fill the memory with frames that are never complete.
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
