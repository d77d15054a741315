#ifndef CAPERJUNCTION_FLEET_CLAIM_RETRY_HPP
#define CAPERJUNCTION_FLEET_CLAIM_RETRY_HPP

#include "model/time.hpp"

namespace caperjunction::fleet {

/// Retry delay while the call runs on another host, which is most likely over
/// by then. Earlier retries only add to the load that made the caller resend.
inline constexpr model::milliseconds retry_running{2'000};
/// Retry delay without a quorum: lists and links converge within seconds.
inline constexpr model::milliseconds retry_no_quorum{5'000};

} // namespace caperjunction::fleet

#endif
