#ifndef CAPERJUNCTION_ROUTING_SOFTWARE_HPP
#define CAPERJUNCTION_ROUTING_SOFTWARE_HPP

#include "routing/upstream.hpp"

#include <xxhash.h>

#include <cstdint>

namespace caperjunction::routing {

/// Identifies one software version of the upstreams of one service, the same on
/// all hosts. Events of two versions don't form one stream.
struct software
{
    /// Hash of the names of the service and the version.
    std::uint64_t key = 0;

    friend bool operator==(software const&, software const&) = default;
    friend auto operator<=>(software const&, software const&) = default;
};

/// Returns the software of an upstream, as its entry describes it.
///
/// Thread safety: any thread.
inline software software_of(upstream const& described)
{
    std::uint64_t const service =
        XXH3_64bits(described.service.data(), described.service.size());
    return {XXH3_64bits_withSeed(described.software_version.data(),
                                 described.software_version.size(),
                                 service)};
}

} // namespace caperjunction::routing

#endif
