#ifndef CAPERJUNCTION_DECIDE_PLACEMENT_HPP
#define CAPERJUNCTION_DECIDE_PLACEMENT_HPP

#include "decide/decision.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <vector>

namespace caperjunction::decide {

/// Where a request would run best by what is known.
struct placement
{
    /// `no_index` if no engine has room for it.
    index engine = no_index;
    model::milliseconds predicted{0};
    /// Prompt tokens that the engine is expected to compute.
    double prefill_tokens = 0.0;
    /// Bytes on the link between regions; 0 within the own one.
    double link_bytes = 0.0;
    /// What was weighed, for the log.
    std::vector<candidate> candidates;
};

} // namespace caperjunction::decide

#endif
