#include "fleet/hashing.hpp"

#include <xxhash.h>

namespace caperjunction::fleet {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace caperjunction::fleet
