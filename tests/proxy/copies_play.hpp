#ifndef CAPERJUNCTION_TESTS_PROXY_COPIES_PLAY_HPP
#define CAPERJUNCTION_TESTS_PROXY_COPIES_PLAY_HPP

#include "proxy/crashing_fleet.hpp"
#include "proxy/repeat_play.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace caperjunction::test {

/// Arrivals that users allow from `grace` after the third crash on.
constexpr std::size_t allowed_late_arrivals = 3;

inline crashing_fleet::repeated_request const booked{"/book/", guilty_body};

/// Sends `copies` of a request to as many hosts, `gap` apart, each of which
/// chooses another engine, and does so `rounds` times.
inline std::vector<first_try> repeat_at_once(crashing_fleet& site,
                                             std::size_t copies,
                                             int rounds,
                                             model::milliseconds interval,
                                             model::milliseconds gap = 0ms)
{
    std::vector<first_try> tries;
    std::size_t host = 0;
    site.fleet.place_apart();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t copy = 0; copy < copies; ++copy) {
            std::size_t const at = host++ % site.fleet.hosts.size();
            tries.push_back(site.repeat(at, booked));
            if (gap > 0ms) {
                site.fleet.run_for(gap);
            }
        }
        site.fleet.run_for(interval);
    }
    return tries;
}

/// Checks the number of engines that ended, and of arrivals since the third.
inline void check_ends(crashing_fleet const& site, std::size_t most)
{
    CHECK(site.ends.size() <= most);
    CHECK(site.arrivals_after_third_end(grace) <= allowed_late_arrivals);
}

inline void check_stopped(crashing_fleet const& site, std::size_t copies)
{
    CHECK(site.arrivals().size() >= std::min<std::size_t>(copies, 3));
    CHECK(site.arrivals().size() <= std::max(max_arrivals, copies + 1));
    check_ends(site, std::max(max_arrivals, copies + 1));
}

} // namespace caperjunction::test

#endif
