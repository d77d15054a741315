#ifndef CAPERJUNCTION_FLEET_PUBLISHED_VALUE_HPP
#define CAPERJUNCTION_FLEET_PUBLISHED_VALUE_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caperjunction::fleet {

/// The values that the platform's service publishes for the fleet.
enum class published_value : std::uint8_t
{
    plans,
    entitlements,
    hosts,
    upstreams,
};

inline constexpr std::size_t published_value_count = 4;

/// Index into arrays with one entry per value.
constexpr std::size_t index_of(published_value value)
{
    return static_cast<std::size_t>(value);
}

/// The name under which the service publishes the value.
constexpr std::string_view to_string(published_value value)
{
    switch (value) {
    case published_value::plans:
        return "plans";
    case published_value::entitlements:
        return "entitlements";
    case published_value::hosts:
        return "hosts";
    case published_value::upstreams:
        break;
    }
    return "upstreams";
}

} // namespace caperjunction::fleet

#endif
