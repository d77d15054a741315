#ifndef CAPERJUNCTION_PROXY_TRIAL_STATE_HPP
#define CAPERJUNCTION_PROXY_TRIAL_STATE_HPP

#include "model/time.hpp"
#include "routing/shared_part.hpp"
#include "routing/upstream_state.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::proxy {

/// An upstream that a part crashes ends soon after it has begun to write. One
/// that has written for this time is not crashed by this answer.
constexpr model::milliseconds crash_delay{500};

/// The trial of a request whose parts were in flight at crashes.
struct trial_state
{
    /// Parts of which the current attempt is the trial, or will be.
    std::vector<routing::shared_part> parts;
    /// Its claim of that trial; 0: none.
    std::uint32_t claim = 0;
    /// The only upstream that a trial may go to; null: any.
    routing::upstream_state const* only_upstream = nullptr;
    /// Since when it waits for another request's trial.
    std::optional<model::time_point> waits_since;
};

} // namespace caperjunction::proxy

#endif
