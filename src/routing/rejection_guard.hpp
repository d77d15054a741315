#ifndef CAPERJUNCTION_ROUTING_REJECTION_GUARD_HPP
#define CAPERJUNCTION_ROUTING_REJECTION_GUARD_HPP

#include "model/time.hpp"
#include "routing/upstream_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace caperjunction::routing {

/// Requests at an upstream as a host knows them, and its slots.
struct slot_usage
{
    std::uint32_t slots = 0;
    std::uint32_t own = 0;
    std::uint32_t others = 0;
};

/// Keeps an upstream from crashing because it rejects too many requests.
///
/// Upstreams may state how many requests per second they can reject, from all
/// hosts together, without crashing. Under an overload each host would
/// otherwise go on to find out by itself that an upstream is full, and the
/// upstreams would crash one after the other. While such a limit is in force,
/// the hosts divide the slots of the upstream among them, which can't lead to a
/// rejection. While less than half of the slots are used, a host may use one
/// more than its own. A host that is rejected pauses.
///
/// Thread safety: none; owned by one task.
class rejection_guard
{
public:
    /// Sets the limit; no value: the upstream has none. Returns whether it
    /// begins or ends.
    bool update(std::optional<double> rejections_per_second);

    bool is_active() const
    {
        return m_rejections_per_second.has_value();
    }

    std::optional<double> rejections_per_second() const
    {
        return m_rejections_per_second;
    }

    /// Sets this host's position among the hosts that share the slots.
    /// `has_others`: this host shares the slots of other upstreams of the
    /// service, and leaves those that it doesn't share alone.
    void set_share(limit_share const& share, bool has_others)
    {
        m_share = share;
        m_has_others = has_others;
    }

    /// Records that the upstream has rejected a request of this host for lack
    /// of room, or has crashed.
    void record_rejection(model::time_point now);

    /// Returns when one more request may be sent: `now` or earlier if at once.
    model::time_point next_send(slot_usage const& usage,
                                model::time_point now) const;

private:
    std::optional<double> m_rejections_per_second;
    std::size_t used_slots(std::uint32_t slots) const;
    std::uint32_t own_slots(std::uint32_t slots) const;
    bool may_use_extra(slot_usage const& usage) const;

    limit_share m_share;
    bool m_has_others = false;
    /// Until when no slot is used that could lead to a rejection.
    model::time_point m_paused_until{};
};

} // namespace caperjunction::routing

#endif
