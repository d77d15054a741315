#ifndef CAPERJUNCTION_FLEET_GENERATION_HPP
#define CAPERJUNCTION_FLEET_GENERATION_HPP

#include <chrono>
#include <cstdint>

namespace caperjunction::fleet {

/// Identifies one process among all that ever run under a host's name. Later
/// starts get higher numbers, as far as the wall clocks agree. The random part
/// separates two starts within one millisecond.
constexpr std::uint64_t
make_generation(std::chrono::system_clock::time_point started,
                std::uint32_t random)
{
    constexpr unsigned random_bits = 20;
    constexpr std::uint32_t random_mask = (1U << random_bits) - 1;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto const age = duration_cast<milliseconds>(started.time_since_epoch());
    auto const since = static_cast<std::uint64_t>(age.count());
    return (since << random_bits) | (random & random_mask);
}

} // namespace caperjunction::fleet

#endif
