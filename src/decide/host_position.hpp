#ifndef CAPERJUNCTION_DECIDE_HOST_POSITION_HPP
#define CAPERJUNCTION_DECIDE_HOST_POSITION_HPP

#include <algorithm>
#include <cstdint>

namespace caperjunction::decide {

/// This host's position among the live hosts.
struct host_position
{
    std::uint32_t hosts = 1;
    std::uint32_t in_region = 1;
    /// Number of hosts of its region whose names sort before its own.
    std::uint32_t rank = 0;

    friend bool operator==(host_position const&,
                           host_position const&) = default;

    /// Fraction of one engine, 0..1, that is assigned to this host, with
    /// `engines` in the region. The ordered engines are divided into equal
    /// contiguous parts, one for each host.
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
