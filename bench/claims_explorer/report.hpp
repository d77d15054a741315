#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_REPORT_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_REPORT_HPP

#include "bench/claims_explorer/search.hpp"

#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// What the search of one profile saw.
struct profile_result
{
    std::string name;
    search_result result;
};

/// One object: sums, then the profiles, then the first bad history.
std::string report_json(std::vector<profile_result> const& results);

/// One line a profile, then the first bad history.
std::string report_table(std::vector<profile_result> const& results);

} // namespace caperjunction::claims_explorer

#endif
