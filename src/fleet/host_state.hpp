#ifndef CAPERJUNCTION_FLEET_HOST_STATE_HPP
#define CAPERJUNCTION_FLEET_HOST_STATE_HPP

#include <cstdint>
#include <string_view>

namespace caperjunction::fleet {

/// State of another host in this host's view.
enum class host_state : std::uint8_t
{
    alive,
    /// Reported silent; a peer that receives its heartbeats may still refute
    /// that.
    suspect,
    /// Reported silent and not refuted in time.
    lost,
    /// About to stop, as announced by itself or the platform; gets no new work.
    leaving,
};

constexpr std::string_view to_string(host_state state)
{
    switch (state) {
    case host_state::alive:
        return "alive";
    case host_state::suspect:
        return "suspect";
    case host_state::lost:
        return "lost";
    case host_state::leaving:
        break;
    }
    return "leaving";
}

} // namespace caperjunction::fleet

#endif
