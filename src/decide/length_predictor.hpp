#ifndef CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP
#define CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP

#include "decide/indices.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Predicts output lengths by class: their mean.
///
/// Made for mixed lengths: a caller's bound is mostly far above what it gets,
/// so charging the bound would rank teams by habit of asking. The mean, since
/// shares are charged by it and have to come out right over many answers.
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

    /// Notes an answer that ended with so many tokens before it reached its
    /// expected length. `most` is the class's bound on outputs.
    void ended(index class_place, std::uint32_t tokens, std::uint32_t most)
    {
        add(class_place, tokens, most);
    }

    /// Notes an answer that has just passed its expected length. It counts at
    /// once, and not again when it ends: the short answers end first, and by
    /// those alone a class of long ones would look short for minutes.
    void passed(index class_place, std::uint32_t expected, std::uint32_t most)
    {
        add(class_place, beyond * expected, most);
    }

private:
    struct estimate
    {
        double value = 0.0;
        std::uint32_t samples = 0;
    };

    // Mean length of answers that pass the mean, as a multiple of it.
    static constexpr double beyond = 1.45;
    static constexpr double least_weight = 0.02;
    // Callers and classes ask for a multiple of what they get.
    static constexpr double asked_for = 4.0;
    static constexpr double unknown_length = 256.0;
    // Answers that the first guess counts for.
    static constexpr double prior_weight = 20.0;

    void add(index class_place, double sample, std::uint32_t most)
    {
        if (class_place >= m_classes.size()) {
            m_classes.resize(class_place + 1);
        }
        estimate& own = m_classes[class_place];
        if (own.samples == 0) {
            own.value = prior(most);
        }
        ++own.samples;
        double const weight =
            std::max(least_weight, 1.0 / (prior_weight + own.samples));
        own.value += (sample - own.value) * weight;
    }

    static double prior(std::uint32_t most)
    {
        return most == 0 ? unknown_length : most / asked_for;
    }

    std::vector<estimate> m_classes;
};

} // namespace caperjunction::decide

#endif
