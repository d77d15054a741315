#ifndef CAPERJUNCTION_DECIDE_OUTLIER_DETECTOR_HPP
#define CAPERJUNCTION_DECIDE_OUTLIER_DETECTOR_HPP

#include "decide/engine_table.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <random>

namespace caperjunction::decide {

/// Finds engines that are slow against their peers.
///
/// Made for one slow engine among good ones: its own queue grows, its reports
/// lag, and each request sent there misses its target. Engines are compared
/// with peers of the same model, not with the target: under saturation all
/// are slow together, and ejecting some would only load the rest more. For
/// the same reason only a share of them may be out at once.
///
/// Thread safety: none; owned by one task.
class outlier_detector
{
public:
    explicit outlier_detector(std::uint64_t seed);

    /// Whether this engine should get no new work for now.
    bool is_outlier(engine_table& engines, index engine, model::time_point now);

    /// Time that it is out for, longer each time it fails.
    static model::milliseconds next_penalty(engine_state& engine);

private:
    bool is_slower_than_peers(engine_table const& engines, index engine);

    std::mt19937_64 m_random;
};

} // namespace caperjunction::decide

#endif
