#ifndef CAPERJUNCTION_FLEET_HOST_STATE_HPP
#define CAPERJUNCTION_FLEET_HOST_STATE_HPP

#include <cstdint>
#include <string_view>

namespace caperjunction::fleet {

/// What this host holds of another.
enum class host_state : std::uint8_t
{
    alive,
    /// Reported silent; a peer that hears it may still refute that.
    suspect,
    /// Silent, and nobody refuted it in time.
    lost,
    /// It stops soon, by its own word or the platform's: no new work.
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
