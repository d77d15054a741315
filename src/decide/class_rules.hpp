#ifndef CAPERJUNCTION_DECIDE_CLASS_RULES_HPP
#define CAPERJUNCTION_DECIDE_CLASS_RULES_HPP

#include "decide/indices.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::decide {

/// Settings of one service class from the lists, with its tier as a number.
struct class_rules
{
    /// Rank of the tier; 0 is the highest.
    index tier = 0;
    model::milliseconds first_token_target{490};
    model::milliseconds inter_token_target{42};
    model::milliseconds max_wait{30'000};
    std::uint32_t max_output_tokens = 4096;
    double retry_ratio = 0.1;

    friend bool operator==(class_rules const&, class_rules const&) = default;
};

} // namespace caperjunction::decide

#endif
