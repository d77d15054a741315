#ifndef CAPERJUNCTION_DECIDE_LINK_BUDGET_HPP
#define CAPERJUNCTION_DECIDE_LINK_BUDGET_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::decide {

/// Limits the bytes that this host exchanges with other regions.
///
/// The link is narrow, shared and paid by volume. Under uneven demand, sending
/// every small overflow across would fill it and also delay the requests that
/// have no other path.
///
/// Thread safety: none; owned by one task.
class link_budget
{
public:
    /// \pre bytes_per_second > 0.
    explicit link_budget(double bytes_per_second)
        : m_rate(bytes_per_second)
        , m_level(bytes_per_second * burst_seconds)
    {
    }

    bool has_budget(double bytes, model::time_point now)
    {
        refill(now);
        return bytes <= m_level;
    }

    void consume(double bytes, model::time_point now)
    {
        refill(now);
        m_level -= bytes;
    }

    /// Estimated link bytes of a request and its answer: the prompt as text,
    /// and one event for each output token.
    static double estimate(std::uint32_t prompt_tokens,
                           std::uint32_t output_tokens)
    {
        return prompt_bytes * prompt_tokens + event_bytes * output_tokens;
    }

private:
    static constexpr double burst_seconds = 2.0;
    static constexpr double prompt_bytes = 4.0;
    static constexpr double event_bytes = 160.0;

    void refill(model::time_point now)
    {
        double const age = model::seconds(now - m_updated).count();
        m_level = std::min(m_rate * burst_seconds,
                           m_level + std::max(0.0, age) * m_rate);
        m_updated = now;
    }

    double m_rate;
    double m_level;
    model::time_point m_updated{};
};

} // namespace caperjunction::decide

#endif
