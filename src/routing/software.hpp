#ifndef CAPERJUNCTION_ROUTING_SOFTWARE_HPP
#define CAPERJUNCTION_ROUTING_SOFTWARE_HPP

#include "routing/upstream.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string_view>
#include <tuple>

namespace caperjunction::routing {

/// Identifies one software version of the upstreams of one service, the same on
/// all hosts. Events of two versions don't form one stream.
struct software
{
    /// Hashes of the names.
    std::uint64_t service = 0;
    std::uint64_t version = 0;

    friend bool operator==(software const&, software const&) = default;

    friend bool operator<(software const& a, software const& b)
    {
        return std::tie(a.service, a.version) < std::tie(b.service, b.version);
    }
};

/// Returns the key of a service in `software`. Thread safety: any thread.
inline std::uint64_t software_service_key(std::string_view service)
{
    return XXH3_64bits(service.data(), service.size());
}

/// Returns the software of an upstream, as its entry describes it.
///
/// Thread safety: any thread.
inline software software_of(upstream const& described)
{
    return {software_service_key(described.service),
            XXH3_64bits(described.software_version.data(),
                        described.software_version.size())};
}

} // namespace caperjunction::routing

#endif
