#ifndef CAPERJUNCTION_DECIDE_OUTLIER_DETECTOR_HPP
#define CAPERJUNCTION_DECIDE_OUTLIER_DETECTOR_HPP

#include "decide/engine_table.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <random>

namespace caperjunction::decide {

/// Detects engines that are slow compared with their peers.
///
/// The queue of a slow engine grows, its reports lag, and each request sent to
/// it misses its target. Engines are compared with peers of the same model and
/// not with the target: under saturation all are slow, and ejecting some would
/// only increase the load of the rest. For the same reason the share of engines
/// that are ejected at once is limited.
///
/// Thread safety: none; owned by one task.
class outlier_detector
{
public:
    explicit outlier_detector(std::uint64_t seed);

    /// Whether this engine should be ejected.
    bool is_outlier(engine_table& engines, index engine, model::time_point now);

    /// Duration of the next ejection; doubles on each call.
    static model::milliseconds next_penalty(engine_state& engine);

private:
    bool is_slower_than_peers(engine_table const& engines, index engine);

    std::mt19937_64 m_random;
};

} // namespace caperjunction::decide

#endif
