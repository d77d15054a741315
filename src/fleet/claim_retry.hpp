#ifndef CAPERJUNCTION_FLEET_CLAIM_RETRY_HPP
#define CAPERJUNCTION_FLEET_CLAIM_RETRY_HPP

#include "model/time.hpp"

namespace caperjunction::fleet {

/// A call that runs elsewhere is most likely over by then; sooner only adds
/// to the load that made the caller send it again.
inline constexpr model::milliseconds retry_running{2'000};
/// Lists and links settle within seconds.
inline constexpr model::milliseconds retry_no_quorum{5'000};

} // namespace caperjunction::fleet

#endif
