#ifndef CAPERJUNCTION_FLEET_HASHING_HPP
#define CAPERJUNCTION_FLEET_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace caperjunction::fleet {

/// Returns the XXH3 hash of `text` with a seed.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

} // namespace caperjunction::fleet

#endif
