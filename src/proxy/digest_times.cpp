#include "proxy/digest_times.hpp"

#include <algorithm>
#include <limits>

namespace caperjunction::proxy {

std::uint32_t clamp_micros(std::chrono::microseconds time)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, longest));
}

std::uint64_t micros_of(model::time_point time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            time.time_since_epoch())
            .count());
}

model::time_point time_of(std::uint64_t micros)
{
    return model::time_point(
        std::chrono::microseconds(std::min(micros, max_digest_micros)));
}

} // namespace caperjunction::proxy
