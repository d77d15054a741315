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

/// The platform's service as the fleet sees it: values with revisions that
/// can be watched. It may be down, or answer with what it held earlier.
class virtual_service
{
public:
    /// A watch that waits, and whose it is.
    struct waiting
    {
        std::string host;
        /// Tells a restarted host's watches from the last process's.
        std::uint64_t process = 0;
        fleet::watch_value watch;
    };

    void publish(fleet::published_value value, fleet::checked_value published)
    {
        m_current[fleet::index_of(value)] = std::move(published);
    }

    /// From now on it answers with what it holds now.
    void freeze()
    {
        m_frozen = m_current;
        m_stale = true;
    }

    /// Answers again with what it held at the last `freeze`.
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

    std::vector<waiting>& watches()
    {
        return m_watches;
    }

    /// Whether a watch after a revision that it doesn't hold is answered at
    /// once, with a lower one; it waits otherwise.
    bool answers_lower = false;
    /// Hosts that can't reach it.
    std::set<std::string> unreachable_from;
    /// Calls so far; a waiting watch counts once.
    std::uint64_t calls = 0;

private:
    std::array<fleet::checked_value, fleet::published_value_count> m_current;
    std::array<fleet::checked_value, fleet::published_value_count> m_frozen;
    std::vector<waiting> m_watches;
    bool m_stale = false;
    bool m_down = false;
};

} // namespace caperjunction::bench

#endif
