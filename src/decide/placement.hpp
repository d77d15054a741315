#ifndef CAPERJUNCTION_DECIDE_PLACEMENT_HPP
#define CAPERJUNCTION_DECIDE_PLACEMENT_HPP

#include "decide/decision.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <vector>

namespace caperjunction::decide {

/// The best predicted engine for a request.
struct placement
{
    /// `no_index` if no engine has capacity for the request.
    index engine = no_index;
    model::milliseconds predicted{0};
    /// Prompt tokens that the engine is expected to compute.
    double prefill_tokens = 0.0;
    /// Bytes on the link between regions; 0 within this region.
    double link_bytes = 0.0;
    /// All evaluated engines, for the log.
    std::vector<candidate> candidates;
};

} // namespace caperjunction::decide

#endif
