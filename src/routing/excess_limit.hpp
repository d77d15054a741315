#ifndef CAPERJUNCTION_ROUTING_EXCESS_LIMIT_HPP
#define CAPERJUNCTION_ROUTING_EXCESS_LIMIT_HPP

#include "model/time.hpp"

#include <optional>

namespace caperjunction::routing {

/// Maximum forecast of the requests of a service that are beyond their teams'
/// shares, as a share of the latency target.
///
/// Answers teams that ask for several times their usual load while others lose
/// requests because of it. The more is lost, the lower the limit, so that a
/// slight shortage refuses little.
///
/// Thread safety: none; owned by one task.
class excess_limit
{
public:
    /// Moves the limit towards the one for the loss `lost`, as far as the time
    /// since the last call allows; at most one second of it counts. `lost`: the
    /// fraction of the demand within shares that was refused or late, from 0 to
    /// 1; no value if there is no such demand, which leaves the limit as it is.
    void update(std::optional<double> lost, model::time_point now);

    /// Returns the maximum forecast as a share of the latency target, from 0 to
    /// `highest`.
    double max_share() const
    {
        return m_max_share;
    }

    /// The limit of all requests of the least urgent routes.
    static constexpr double highest = 0.6;

private:
    double m_max_share = highest;
    std::optional<model::time_point> m_updated_at;
};

} // namespace caperjunction::routing

#endif
