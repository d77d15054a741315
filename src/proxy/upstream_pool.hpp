#ifndef CAPERJUNCTION_PROXY_UPSTREAM_POOL_HPP
#define CAPERJUNCTION_PROXY_UPSTREAM_POOL_HPP

#include "proxy/upstream_connection.hpp"
#include "routing/upstream_state.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace caperjunction::proxy {

/// How a request may reach its upstream now.
struct upstream_path
{
    /// Host through which a new connection leads; no value: it is direct.
    std::optional<model::endpoint> peer;
    /// Whether idle direct connections may be used.
    bool uses_idle_direct = true;
    /// Returns whether the request may pass through the host whose tunnels are
    /// at this address.
    std::function<bool(model::endpoint const&)> allows_peer;
};

/// Keeps idle connections to upstreams for reuse. A new connection costs a
/// round trip and, at some upstreams, a slot.
///
/// Thread safety: none; owned by the loop's task.
class upstream_pool
{
public:
    explicit upstream_pool(runtime::event_loop& loop);

    /// Returns the most recently used idle connection that `path` allows, or a
    /// new one.
    std::shared_ptr<upstream_connection>
    acquire(routing::upstream_ptr const& upstream, upstream_path const& path);

    /// Returns whether there is an idle connection to `upstream`, by whichever
    /// path; `acquire` may still open a new one.
    bool has_idle(routing::upstream_state const& upstream) const;

    /// Establishes a connection for later use, through the host whose tunnels
    /// are at `peer` or directly. `on_result` is called with why that failed;
    /// nothing if it succeeded.
    void
    probe(routing::upstream_ptr const& upstream,
          std::optional<model::endpoint> const& peer,
          model::milliseconds connect_timeout,
          std::function<void(std::optional<answer_fault>)> const& on_result);

    /// Returns a connection to the pool after a complete answer.
    void release(routing::upstream_ptr const& upstream,
                 std::shared_ptr<upstream_connection> connection);

    /// Closes connections that have been idle for too long, all connections to
    /// upstreams that were removed, and those through other hosts that
    /// `keeps_peer` rejects.
    void
    close_idle(std::function<bool(routing::upstream_state const&,
                                  model::endpoint const&)> const& keeps_peer);

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

    std::shared_ptr<upstream_connection>
    connect(routing::upstream_ptr const& upstream,
            std::optional<model::endpoint> const& peer);
    std::shared_ptr<upstream_connection>
    take_idle(routing::upstream_ptr const& upstream, upstream_path const& path);
    bool is_usable(upstream_connection const& connection) const;
    bool is_allowed(upstream_connection const& connection,
                    upstream_path const& path) const;

    runtime::event_loop& m_loop;
    std::map<routing::upstream_state const*, idle_set> m_idle;
    std::map<upstream_connection const*, std::shared_ptr<upstream_connection>>
        m_probes;
    std::uint64_t m_opened = 0;
};

} // namespace caperjunction::proxy

#endif
