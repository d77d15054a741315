#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_LIMIT_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_LIMIT_HPP

#include "model/time.hpp"

#include <cstddef>
#include <optional>

namespace caperjunction::routing {

/// Request limit reported in an answer of an upstream.
struct limit_notice
{
    /// For all hosts together; no value: no limit.
    std::optional<double> requests_per_second;
    /// When a host received the answer. The newest notice applies.
    model::time_point received_at{};
};

/// Position of a host among the hosts that share an upstream's limit.
struct limit_share
{
    /// From 0. All `hosts` agree on the order; the first ones share the limit.
    std::size_t rank = 0;
    /// Hosts that exchange digests, including this one.
    std::size_t hosts = 1;
    /// False if the limit is shared by hosts that this host receives no digests
    /// from.
    bool participates = true;
    /// Hosts in the fleet.
    std::size_t fleet_size = 1;
    /// 0..1, fixed for a host and an upstream: the order in which hosts start.
    double phase = 0.0;
};

/// Number of hosts that share a limit, each with one request at a time: a
/// minimum, plus hosts per request per second.
struct sharer_rule
{
    double min_hosts = 4.0;
    double hosts_per_request = 2.0;
};

/// Limits this host's part of the requests to an overloaded upstream.
///
/// The upstream reports how many requests it accepts from all hosts together.
/// If each host used the whole limit, the upstream would receive as many times
/// the limit as there are hosts. With equal parts and at least one request at
/// once for each host, a large fleet still sends too many in the first moment.
/// A few hosts therefore share the limit, and the others send nothing to the
/// upstream.
///
/// Thread safety: none; owned by one task.
class upstream_limit
{
public:
    upstream_limit() = default;

    explicit upstream_limit(sharer_rule const& rule)
        : m_sharer_rule(rule)
    {
    }

    /// Applies a notice that this host or another one received. A notice older
    /// than the current one is ignored. Returns true if a limit begins or ends.
    bool update(limit_notice const& notice);

    /// Returns the current notice; default-constructed before the first one.
    limit_notice const& notice() const
    {
        return m_notice;
    }

    limit_share const& share() const
    {
        return m_share;
    }

    bool is_limited() const
    {
        return m_notice.requests_per_second.has_value();
    }

    /// Sets this host's position among the sharers.
    void set_share(limit_share const& share);

    /// Returns whether one more request may be sent.
    bool may_send(model::time_point now) const
    {
        return !is_limited() || now >= next_send(now);
    }

    /// Returns when one more request may be sent; `time_point::max()` if other
    /// hosts share the limit.
    /// \pre is_limited().
    model::time_point next_send(model::time_point now) const;

    /// Records that a request was sent.
    void record_send(model::time_point now);

private:
    bool is_stale(model::time_point now) const;
    std::size_t sharers() const;
    model::time_point next_for_sharer() const;
    model::time_point next_for_stale() const;
    model::time_point next_slot(model::time_point from,
                                model::milliseconds each,
                                double position) const;

    sharer_rule m_sharer_rule;
    limit_notice m_notice;
    limit_share m_share;
    model::time_point m_sent_at{};
    model::time_point m_limited_since{};
};

} // namespace caperjunction::routing

#endif
