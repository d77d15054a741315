#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_AVAILABILITY_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_AVAILABILITY_HPP

#include "bench/claims_explorer/booking_fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::claims_explorer {

/// Booking counts of one design in one history of faults.
struct availability_result
{
    std::string history;
    std::string design;
    booking_count count;
};

/// Runs bookings on seven hosts in three data centres through each history: by
/// votes, and by a single owner per key with and without hand-over. Includes
/// only histories whose names start with `only`.
std::vector<availability_result>
measure_availability(std::uint64_t seed, std::string_view only = {});

/// Returns one line per history and design, or JSON.
std::string report_availability(std::vector<availability_result> const& results,
                                bool as_json);

} // namespace caperjunction::claims_explorer

#endif
