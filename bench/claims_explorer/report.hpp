#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_REPORT_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_REPORT_HPP

#include "bench/claims_explorer/search.hpp"

#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// Search result of one profile.
struct profile_result
{
    std::string name;
    search_result result;
};

/// Returns one JSON object: totals, profiles and the history of the first
/// violation.
std::string report_json(std::vector<profile_result> const& results);

/// Returns a table with one line per profile, and the history of the first
/// violation.
std::string report_table(std::vector<profile_result> const& results);

} // namespace caperjunction::claims_explorer

#endif
