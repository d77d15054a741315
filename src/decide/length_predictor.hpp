#ifndef CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP
#define CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP

#include "decide/indices.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Predicts output lengths by class: a high quantile of what was seen.
///
/// Made for mixed lengths: a caller's bound is mostly far above what it gets,
/// so charging the bound would rank teams by habit of asking. A high quantile
/// rather than the mean, since charging too little lets a long answer through
/// at a short one's price; the difference is corrected at its end.
///
/// Thread safety: none; owned by one task.
class length_predictor
{
public:
    std::uint32_t predict(index class_place, std::uint32_t most) const
    {
        double const guess = class_place < m_quantiles.size()
                                 ? m_quantiles[class_place]
                                 : unknown_length;
        auto const tokens = static_cast<std::uint32_t>(std::max(1.0, guess));
        return most == 0 ? tokens : std::min(tokens, most);
    }

    void observe(index class_place, std::uint32_t tokens)
    {
        if (class_place >= m_quantiles.size()) {
            m_quantiles.resize(class_place + 1, unknown_length);
        }
        // Moves up by `quantile` and down by the rest: it comes to rest where
        // that share of answers is shorter.
        double& value = m_quantiles[class_place];
        double const step = std::max(1.0, value * step_share);
        value += tokens > value ? step * quantile : -step * (1.0 - quantile);
        value = std::max(1.0, value);
    }

private:
    static constexpr double quantile = 0.7;
    static constexpr double step_share = 0.05;
    static constexpr double unknown_length = 256.0;

    std::vector<double> m_quantiles;
};

} // namespace caperjunction::decide

#endif
