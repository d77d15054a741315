#ifndef CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP
#define CAPERJUNCTION_DECIDE_LENGTH_PREDICTOR_HPP

#include "decide/indices.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Predicts the output length of a class as the mean of its answers.
///
/// Callers' limits are mostly far above the real output. Charging the limit
/// would order teams by the limits that they usually send. The mean is used
/// because shares are charged by it and must be accurate over many answers.
///
/// Thread safety: none; owned by one task.
class length_predictor
{
public:
    /// `max_tokens` is the limit of this request's output; 0 if there is none.
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

    /// Records an answer of `tokens` tokens that ended within its predicted
    /// length. `max_tokens` is the class's output limit.
    void record_completed(index class_id,
                          std::uint32_t tokens,
                          std::uint32_t max_tokens)
    {
        add(class_id, tokens, max_tokens);
    }

    /// Records an answer that has just exceeded its predicted length. It counts
    /// immediately and not again at its end: short answers end first, and if
    /// only they counted, a class of long answers would look short for minutes.
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

    // Mean length of the answers longer than the mean, as a multiple of it.
    static constexpr double overrun_mean_factor = 1.45;
    static constexpr double min_sample_weight = 0.02;
    // Ratio of the requested limit to the real output.
    static constexpr double requested_to_actual = 4.0;
    static constexpr double default_length = 256.0;
    // Number of answers that the initial estimate counts for.
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
