#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_SERVICE_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_SERVICE_HPP

#include "fleet/agent_output.hpp"
#include "fleet/published_value.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// The platform's service as seen by the fleet: values with revisions that can
/// be watched. It can be unavailable or return outdated values.
class virtual_service
{
public:
    /// A watch that waits for a change.
    struct pending_watch
    {
        std::string host;
        /// Distinguishes the watches of a restarted host from those of its
        /// previous process.
        std::uint64_t process = 0;
        fleet::watch_value watch;
    };

    void publish(fleet::published_value value, fleet::checked_value published)
    {
        m_current[fleet::index_of(value)] = std::move(published);
    }

    /// Returns the current values until `thaw`, despite later changes.
    void freeze()
    {
        m_frozen = m_current;
        m_stale = true;
    }

    /// Returns the values of the last `freeze` again.
    void restore_frozen()
    {
        m_stale = true;
    }

    void thaw()
    {
        m_stale = false;
    }

    void set_down(bool down)
    {
        m_down = down;
    }

    bool down() const
    {
        return m_down;
    }

    fleet::checked_value const& read(fleet::published_value value) const
    {
        auto const& values = m_stale ? m_frozen : m_current;
        return values[fleet::index_of(value)];
    }

    std::vector<pending_watch>& watches()
    {
        return m_watches;
    }

    /// Whether a watch for changes after a revision newer than the service's
    /// own is answered immediately with the lower revision. Otherwise it
    /// waits.
    bool returns_lower_revision = false;
    /// Hosts that cannot reach the service.
    std::set<std::string> unreachable_from;
    /// Number of calls; a pending watch counts once.
    std::uint64_t calls = 0;

private:
    std::array<fleet::checked_value, fleet::published_value_count> m_current;
    std::array<fleet::checked_value, fleet::published_value_count> m_frozen;
    std::vector<pending_watch> m_watches;
    bool m_stale = false;
    bool m_down = false;
};

} // namespace caperjunction::bench

#endif
