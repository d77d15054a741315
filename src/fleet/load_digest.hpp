#ifndef CAPERJUNCTION_FLEET_LOAD_DIGEST_HPP
#define CAPERJUNCTION_FLEET_LOAD_DIGEST_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// One host's load, as made by `decide::router::digest`.
struct load_digest
{
    /// Whose load it is; not the sender when it has been relayed.
    std::string host;
    /// Grows with each digest of that process; older ones are dropped.
    std::uint64_t sequence = 0;
    /// How often it may still be relayed.
    std::uint8_t hops_left = 0;
    std::vector<std::uint8_t> bytes;

    friend bool operator==(load_digest const&, load_digest const&) = default;
};

} // namespace caperjunction::fleet

#endif
