#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_LINK_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_LINK_HPP

#include "model/time.hpp"

#include <optional>
#include <utility>

namespace caperjunction::routing {

/// How this host reaches one upstream: directly, through another host, or not
/// at all.
///
/// To a host that has lost its link to an upstream it looks as if that had
/// crashed, although hosts beside it reach it. The two differ in whether
/// another host can connect to the upstream.
///
/// Thread safety: none; owned by one task.
class upstream_link
{
public:
    /// Records that no direct connection could be established. Returns whether
    /// the link is lost by that.
    bool record_unreachable(model::time_point now)
    {
        if (is_lost()) {
            return false;
        }
        m_lost_at = now;
        m_has_detour = false;
        m_probed_at = {};
        return true;
    }

    /// Records that a direct connection was established. Returns whether the
    /// link is regained by that.
    bool record_connected()
    {
        m_has_detour = false;
        return std::exchange(m_lost_at, std::nullopt).has_value();
    }

    /// Records whether another host could connect to the upstream. Returns
    /// whether that is a change.
    bool record_detour(bool works)
    {
        bool const has_detour = is_lost() && works;
        return std::exchange(m_has_detour, has_detour) != has_detour;
    }

    /// Records that a direct connection has delivered bytes.
    void record_received(model::time_point now)
    {
        m_received_at = now;
    }

    /// Whether no direct connection can be established. Open ones may live on.
    bool is_lost() const
    {
        return m_lost_at.has_value();
    }

    /// Whether requests get to the upstream, as far as is known.
    bool is_usable() const
    {
        return !is_lost() || m_has_detour;
    }

    bool has_detour() const
    {
        return m_has_detour;
    }

    /// Returns whether open direct connections can be expected to work.
    bool is_live(model::time_point now) const
    {
        return !is_lost() || has_received(now);
    }

    /// Returns whether a link that counts as sound should be tried, because
    /// others of the service are lost.
    bool is_neighbour_probe_due(model::time_point now) const
    {
        return !is_lost() && !has_received(now)
               && now - m_probed_at >= probe_period;
    }

    /// Returns whether a lost link should be tried again, and a way around it
    /// be sought. `is_reached` by others: it is tried more often.
    bool is_probe_due(bool is_reached, model::time_point now) const
    {
        auto const period = is_reached ? probe_period : crashed_probe_period;
        return is_lost() && now - m_probed_at >= period;
    }

    /// Records that it is tried again.
    void record_probe(model::time_point now)
    {
        m_probed_at = now;
    }

private:
    bool has_received(model::time_point now) const
    {
        return now - m_received_at <= max_silence;
    }

    /// Connections of a busy upstream are never silent for as long as this.
    static constexpr model::milliseconds max_silence{250};
    static constexpr model::milliseconds probe_period{500};
    static constexpr model::milliseconds crashed_probe_period{2'000};

    std::optional<model::time_point> m_lost_at;
    bool m_has_detour = false;
    model::time_point m_received_at{};
    model::time_point m_probed_at{};
};

} // namespace caperjunction::routing

#endif
