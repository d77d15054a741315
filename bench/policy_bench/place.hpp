#ifndef CAPERJUNCTION_BENCH_PLACE_HPP
#define CAPERJUNCTION_BENCH_PLACE_HPP

#include <cstddef>

namespace caperjunction::bench {

/// Region and data centre of a host or upstream, as indices in its deployment.
struct place
{
    std::size_t region = 0;
    std::size_t data_centre = 0;
};

} // namespace caperjunction::bench

#endif
