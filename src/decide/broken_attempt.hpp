#ifndef CAPERJUNCTION_DECIDE_BROKEN_ATTEMPT_HPP
#define CAPERJUNCTION_DECIDE_BROKEN_ATTEMPT_HPP

#include "decide/indices.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::decide {

/// An attempt whose connection broke. Whether the engine crashed or only the
/// connection failed is often known only a little later.
struct broken_attempt
{
    model::request_id id;
    std::uint64_t fingerprint = 0;
    index engine = no_index;
    model::time_point at{};
    /// The attempt broke before its first token.
    bool is_early = false;
};

} // namespace caperjunction::decide

#endif
