#include "routing/cold_start.hpp"

#include <algorithm>

namespace caperjunction::routing {

bool cold_start::extend(model::time_point until, model::time_point now)
{
    bool const was_cold = is_cold(now);
    if (!was_cold) {
        // The limit of an earlier start has ended.
        m_limit.update({std::nullopt, now});
    }
    m_until = std::max(m_until, until);
    return !was_cold && is_cold(now);
}

void cold_start::set_limit(std::optional<double> requests_per_second,
                           limit_share const& share,
                           model::time_point now)
{
    // A notice must be newer than the one that ended the previous limit.
    m_limit.update({requests_per_second,
                    std::max(now,
                             m_limit.notice().received_at
                                 + model::time_point::duration{1})});
    m_limit.set_share(share);
}

model::time_point cold_start::next_send(model::time_point now) const
{
    return is_cold(now) && m_limit.is_limited()
               ? std::min(m_until, m_limit.next_send(now))
               : now;
}

} // namespace caperjunction::routing
