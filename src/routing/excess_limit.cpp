#include "routing/excess_limit.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// Loss that requirement b of docs/UNEVEN_LOAD.md allows.
constexpr double tolerated_loss = 0.02;
/// From this loss on, no excess is accepted.
constexpr double severe_loss = 0.15;
/// The limit falls to 0 in place of values below this one.
constexpr double lowest = 0.05;
constexpr double fall_per_second = 3.0;
/// From 0 to the highest limit in 1.5 s.
constexpr double rise_per_second = 0.4;
/// Limits the change after a host was suspended: it has measured nothing
/// meanwhile.
constexpr double max_elapsed_seconds = 1.0;

} // namespace

void excess_limit::update(std::optional<double> lost, model::time_point now)
{
    double const elapsed =
        m_updated_at ? std::clamp(model::seconds(now - *m_updated_at).count(),
                                  0.0,
                                  max_elapsed_seconds)
                     : 0.0;
    m_updated_at = now;
    if (!lost) {
        return;
    }
    double const severity =
        (*lost - tolerated_loss) / (severe_loss - tolerated_loss);
    double const goal = highest * (1.0 - std::clamp(severity, 0.0, 1.0));
    m_max_share =
        std::clamp(goal < lowest ? 0.0 : goal,
                   std::max(0.0, m_max_share - fall_per_second * elapsed),
                   m_max_share + rise_per_second * elapsed);
}

} // namespace caperjunction::routing
