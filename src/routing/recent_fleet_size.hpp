#ifndef CAPERJUNCTION_ROUTING_RECENT_FLEET_SIZE_HPP
#define CAPERJUNCTION_ROUTING_RECENT_FLEET_SIZE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace caperjunction::routing {

/// Largest number of live hosts of the last 30 s.
///
/// Hosts that can't be reached still send requests to the same engines. Unlike
/// `peer_table::largest_fleet_seen`, it follows a fleet that is scaled down.
///
/// Thread safety: none; owned by one task.
class recent_fleet_size
{
public:
    /// Time for which a size counts after it was last recorded.
    static constexpr model::milliseconds memory{30'000};

    /// Records that `hosts` are alive, this one included. `now` must not
    /// decrease.
    void record(std::size_t hosts, model::time_point now)
    {
        while (!m_maxima.empty() && m_maxima.back().hosts <= hosts) {
            m_maxima.pop_back();
        }
        m_maxima.push_back({hosts, now});
        while (now - m_maxima.front().last_seen > memory) {
            m_maxima.pop_front();
        }
    }

    /// Returns the largest number as of the last `record`; 1 before the first.
    std::size_t largest() const
    {
        return m_maxima.empty()
                   ? 1
                   : std::max<std::size_t>(1, m_maxima.front().hosts);
    }

private:
    struct maximum
    {
        std::size_t hosts = 0;
        model::time_point last_seen{};
    };

    /// Each with more hosts than those recorded after it.
    std::deque<maximum> m_maxima;
};

} // namespace caperjunction::routing

#endif
