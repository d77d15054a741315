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
    std::uint32_t predict(index class_id, std::uint32_t max_tokens) const
    {
        double const estimated =
            class_id < m_classes.size() && m_classes[class_id].samples > 0
                ? m_classes[class_id].value
                : prior(max_tokens);
        auto const tokens =
            static_cast<std::uint32_t>(std::max(1.0, estimated));
        return max_tokens == 0 ? tokens : std::min(tokens, max_tokens);
    }

    /// Notes an answer that ended with so many tokens before it reached its
    /// expected length. `most` is the class's bound on outputs.
    void record_completed(index class_id,
                          std::uint32_t tokens,
                          std::uint32_t max_tokens)
    {
        add(class_id, tokens, max_tokens);
    }

    /// Notes an answer that has just passed its expected length. It counts at
    /// once, and not again when it ends: the short answers end first, and by
    /// those alone a class of long ones would look short for minutes.
    void record_overrun(index class_id,
                        std::uint32_t expected,
                        std::uint32_t max_tokens)
    {
        add(class_id, overrun_mean_factor * expected, max_tokens);
    }

private:
    struct estimate
    {
        double value = 0.0;
        std::uint32_t samples = 0;
    };

    // Mean length of answers that pass the mean, as a multiple of it.
    static constexpr double overrun_mean_factor = 1.45;
    static constexpr double min_sample_weight = 0.02;
    // Callers and classes ask for a multiple of what they get.
    static constexpr double requested_to_actual = 4.0;
    static constexpr double default_length = 256.0;
    // Answers that the first guess counts for.
    static constexpr double prior_weight = 20.0;

    void add(index class_id, double sample, std::uint32_t max_tokens)
    {
        if (class_id >= m_classes.size()) {
            m_classes.resize(class_id + 1);
        }
        estimate& current = m_classes[class_id];
        if (current.samples == 0) {
            current.value = prior(max_tokens);
        }
        ++current.samples;
        double const weight =
            std::max(min_sample_weight, 1.0 / (prior_weight + current.samples));
        current.value += (sample - current.value) * weight;
    }

    static double prior(std::uint32_t max_tokens)
    {
        return max_tokens == 0 ? default_length
                               : max_tokens / requested_to_actual;
    }

    std::vector<estimate> m_classes;
};

} // namespace caperjunction::decide

#endif
