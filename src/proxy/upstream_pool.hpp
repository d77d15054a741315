#ifndef CAPERJUNCTION_PROXY_UPSTREAM_POOL_HPP
#define CAPERJUNCTION_PROXY_UPSTREAM_POOL_HPP

#include "proxy/upstream_connection.hpp"
#include "routing/upstream_state.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace caperjunction::proxy {

/// Keeps idle connections to upstreams for reuse. A new connection costs a
/// round trip and, at some upstreams, a slot.
///
/// Thread safety: none; owned by the loop's task.
class upstream_pool
{
public:
    explicit upstream_pool(runtime::event_loop& loop);

    /// Returns the most recently used idle connection, or a new one.
    std::shared_ptr<upstream_connection>
    acquire(routing::upstream_ptr const& upstream);

    /// Returns a connection to the pool after a complete answer.
    void release(routing::upstream_ptr const& upstream,
                 std::shared_ptr<upstream_connection> connection);

    /// Closes connections that have been idle for too long, and all connections
    /// to upstreams that were removed.
    void close_idle();

    /// Number of connections opened so far.
    std::uint64_t connections_opened() const
    {
        return m_opened;
    }

private:
    struct idle_set
    {
        routing::upstream_ptr upstream;
        std::vector<std::shared_ptr<upstream_connection>> connections;
    };

    bool is_usable(upstream_connection const& connection) const;

    runtime::event_loop& m_loop;
    std::map<routing::upstream_state const*, idle_set> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace caperjunction::proxy

#endif
