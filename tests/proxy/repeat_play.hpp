#ifndef CAPERJUNCTION_TESTS_PROXY_REPEAT_PLAY_HPP
#define CAPERJUNCTION_TESTS_PROXY_REPEAT_PLAY_HPP

#include "proxy/crashing_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace caperjunction::test {

/// Arrivals of one request at engines, in all and from `grace` after the third
/// crash on.
constexpr std::size_t max_arrivals = 4;
constexpr std::size_t max_late_arrivals = 0;
constexpr model::milliseconds grace{1'000};

constexpr std::size_t engines = 12;
inline std::vector<std::string> const seven_hosts{
    "a", "a", "a", "b", "b", "c", "c"};
inline std::string const guilty_body = "crashes";

inline void check_arrivals(crashing_fleet const& site)
{
    CHECK(site.arrivals().size() <= max_arrivals);
    CHECK(site.late_arrivals(grace) <= max_late_arrivals);
}

} // namespace caperjunction::test

#endif
