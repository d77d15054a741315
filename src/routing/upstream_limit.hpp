#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_LIMIT_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_LIMIT_HPP

#include "model/time.hpp"

#include <cstddef>
#include <optional>

namespace caperjunction::routing {

/// What an upstream's answer has said of the requests that it takes.
struct limit_notice
{
    /// Requests a second, from all hosts together; nothing: as many as come.
    std::optional<double> requests_per_second;
    /// When a host got that answer; the newest holds.
    model::time_point received_at{};
};

/// A host's place among those that share an upstream's limit.
struct limit_share
{
    /// From 0. All of `hosts` order each other alike; the first share it.
    std::size_t rank = 0;
    /// Hosts that hear each other, with this one.
    std::size_t hosts = 1;
    /// False: the limit is shared by others, which this host doesn't hear.
    bool participates = true;
    /// All hosts of the fleet.
    std::size_t fleet_size = 1;
    /// 0 to 1, drawn once for the host and the upstream: who begins first.
    double phase = 0.0;
};

/// This host's part of the requests that an upstream in need takes.
///
/// Made for an upstream that says how many it takes from all hosts together.
/// If each host took the limit for its own, a fleet would send as many times
/// as much as it has hosts; with equal parts and one request at once for each,
/// a large fleet still sends too many in the first moment. So a few hosts share
/// the limit, and the others leave the upstream alone.
///
/// Thread safety: none; owned by one task.
class upstream_limit
{
public:
    /// Takes a notice of this host's or another's answer; an older one than is
    /// known changes nothing. True if it begins or ends a limit.
    bool update(limit_notice const& notice);

    /// The notice that holds; nothing was ever said before the first.
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

    /// Sets who shares the limit.
    void set_share(limit_share const& share);

    /// Whether one more request may be sent.
    bool may_send(model::time_point now) const
    {
        return !is_limited() || now >= next_send(now);
    }

    /// When one more request may be sent; the far future if others share the
    /// limit.
    /// \pre is_limited().
    model::time_point next_send(model::time_point now) const;

    /// A request was sent.
    void record_send(model::time_point now);

private:
    bool is_stale(model::time_point now) const;
    std::size_t sharers() const;
    model::time_point next_for_sharer() const;
    model::time_point next_for_stale() const;
    model::time_point next_slot(model::time_point from,
                                model::milliseconds each) const;

    limit_notice m_notice;
    limit_share m_share;
    model::time_point m_sent_at{};
    model::time_point m_began{};
};

} // namespace caperjunction::routing

#endif
