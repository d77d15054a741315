#ifndef CAPERJUNCTION_DECIDE_HOST_POSITION_HPP
#define CAPERJUNCTION_DECIDE_HOST_POSITION_HPP

#include <algorithm>
#include <cstdint>

namespace caperjunction::decide {

/// Where this host stands among the live ones.
struct host_position
{
    std::uint32_t hosts = 1;
    std::uint32_t in_region = 1;
    /// Hosts of its region whose names come before its own.
    std::uint32_t rank = 0;

    friend bool operator==(host_position const&,
                           host_position const&) = default;

    /// What part of one engine out of `engines` of its region falls to this
    /// host, 0..1: the engines lie in a row, cut into equal parts by host.
    double share_of(std::uint32_t engine_rank, std::uint32_t engines) const
    {
        double const width = static_cast<double>(engines) / in_region;
        double const from = std::max<double>(engine_rank, rank * width);
        double const until =
            std::min<double>(engine_rank + 1.0, (rank + 1) * width);
        return std::max(0.0, until - from);
    }
};

} // namespace caperjunction::decide

#endif
