#ifndef CAPERJUNCTION_LISTS_SERVICE_CLASS_HPP
#define CAPERJUNCTION_LISTS_SERVICE_CLASS_HPP

#include "model/time.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::lists {

/// Latency targets, promised attainment and limits of one kind of work.
struct service_class
{
    std::string name;
    std::string tier;
    /// Target for the time from arrival to first token.
    model::milliseconds first_token_target{490};
    /// Target for the mean time between tokens of one answer.
    model::milliseconds inter_token_target{42};
    /// Promised share of requests that meet both targets, 0..1.
    double promised_attainment = 0.95;
    /// Maximum queueing time; then the request is refused with `Retry-After`.
    model::milliseconds max_wait{30'000};
    /// Maximum output tokens that a request of this class may ask for.
    std::uint32_t max_output_tokens = 4096;
    /// Retries allowed per first attempt, 0..1.
    double retry_ratio = 0.1;

    friend bool operator==(service_class const&,
                           service_class const&) = default;
};

} // namespace caperjunction::lists

#endif
