#ifndef CAPERJUNCTION_STAND_INS_PLATFORM_SETTINGS_HPP
#define CAPERJUNCTION_STAND_INS_PLATFORM_SETTINGS_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace caperjunction::stand_ins {

/// Bytes per second.
inline constexpr std::uint64_t default_weights_rate =
    std::uint64_t{64} * 1024 * 1024;

/// Settings of the platform stand-in.
struct platform_settings
{
    model::endpoint listen{"127.0.0.1", 0};
    /// JSON texts by name: plans, entitlements, hosts, upstreams.
    std::map<std::string, std::string> values;
    /// Maximum calls in one second; further calls get 429. A watch counts as
    /// one call, however long it waits.
    std::uint32_t calls_per_second = 2000;
    /// Bandwidth of the weights store, shared by all downloads.
    std::uint64_t weights_bytes_per_second = default_weights_rate;
};

} // namespace caperjunction::stand_ins

#endif
