#ifndef CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP
#define CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP

#include "decide/indices.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Predicts output lengths by class: a quantile of what was seen.
///
/// Made for mixed lengths: a caller's bound is mostly far above what it gets,
/// so charging the bound would rank teams by habit of asking. A quantile
/// above the middle, since lengths have a long tail and the mean, which is
/// what they cost, lies there; the difference is corrected at the end.
///
/// Thread safety: none; owned by one task.
class length_predictor
{
public:
    /// `most` is the bound on this request's output.
    std::uint32_t predict(index class_place, std::uint32_t most) const
    {
        double const guess =
            class_place < m_classes.size() && m_classes[class_place].samples > 0
                ? m_classes[class_place].value
                : prior(most);
        auto const tokens = static_cast<std::uint32_t>(std::max(1.0, guess));
        return most == 0 ? tokens : std::min(tokens, most);
    }

    /// Notes an answer that ended before its expected length, or that has
    /// just passed it. Passing counts at once: the short answers end first,
    /// and by those alone a class of long ones would look short for minutes.
    /// `most` is the class's bound on outputs.
    void observe(index class_place, bool longer, std::uint32_t most)
    {
        if (class_place >= m_classes.size()) {
            m_classes.resize(class_place + 1);
        }
        estimate& own = m_classes[class_place];
        if (own.samples == 0) {
            own.value = prior(most);
        }
        ++own.samples;
        // Moves up by `quantile` and down by the rest: it comes to rest where
        // that share of answers is shorter.
        double const share =
            std::max(step_share, 1.0 / (prior_weight + own.samples));
        double const step = std::max(1.0, own.value * share);
        own.value += longer ? step * quantile : -step * (1.0 - quantile);
        own.value = std::max(1.0, own.value);
    }

private:
    struct estimate
    {
        double value = 0.0;
        std::uint32_t samples = 0;
    };

    static constexpr double quantile = 0.62;
    static constexpr double step_share = 0.03;
    // Callers and classes ask for a multiple of what they get.
    static constexpr double asked_for = 4.0;
    static constexpr double unknown_length = 256.0;
    // Answers that the first guess counts for.
    static constexpr double prior_weight = 20.0;

    static double prior(std::uint32_t most)
    {
        return most == 0 ? unknown_length : most / asked_for;
    }

    std::vector<estimate> m_classes;
};

} // namespace caperjunction::decide

#endif
