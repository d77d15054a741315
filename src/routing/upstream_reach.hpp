#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_REACH_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_REACH_HPP

#include "model/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace caperjunction::routing {

/// Decides whether this host has lost its links to the upstreams.
///
/// To a host that is partitioned from all upstreams it looks as if each of them
/// had crashed, and it would refuse requests that other hosts can still send.
/// Failures to connect to several upstreams, without a success in between, are
/// the evidence of a partition. If it is mistaken because these upstreams did
/// crash, requests take a longer way until the next probe.
///
/// Thread safety: none; owned by one task.
class upstream_reach
{
public:
    /// Records that a direct connection was established. Returns whether the
    /// links are regained by that.
    bool record_connected(model::time_point now);

    /// Records that no direct connection to upstream `id` could be established.
    /// `known` is the number of known upstreams. Returns whether the links are
    /// lost by that.
    bool record_unreachable(std::string const& id,
                            std::size_t known,
                            model::time_point now);

    /// Records that a request was sent over a direct connection.
    void record_sent(model::time_point now)
    {
        m_silent_since = m_silent_since.value_or(now);
    }

    /// Records that a direct connection has delivered bytes.
    void record_received(model::time_point now)
    {
        m_received_at = now;
        m_silent_since.reset();
    }

    bool is_lost() const
    {
        return m_lost_at.has_value();
    }

    /// Returns how long the links have been lost.
    /// \pre is_lost().
    model::milliseconds lost_for(model::time_point now) const;

    /// Returns whether direct connections that are open can be expected to
    /// work. In some partitions they live on and only new ones are refused.
    bool has_live_connections(model::time_point now) const;

    /// Returns whether a direct connection should be attempted without a
    /// request: while the links are lost, or if `waiting` upstreams owe an
    /// answer and all upstreams have been silent.
    bool is_probe_due(std::size_t waiting, model::time_point now) const;

    /// Records that a probe was sent.
    void record_probe(model::time_point now)
    {
        m_probed_at = now;
    }

private:
    std::map<std::string, model::time_point> m_unreachable;
    std::optional<model::time_point> m_lost_at;
    model::time_point m_received_at{};
    /// When the first request since then was sent.
    std::optional<model::time_point> m_silent_since;
    model::time_point m_probed_at{};
};

} // namespace caperjunction::routing

#endif
