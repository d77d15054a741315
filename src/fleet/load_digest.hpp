#ifndef CAPERJUNCTION_FLEET_LOAD_DIGEST_HPP
#define CAPERJUNCTION_FLEET_LOAD_DIGEST_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// One host's load, created by `decide::router::digest`.
struct load_digest
{
    /// The host whose load it is; differs from the sender if relayed.
    std::string host;
    /// Incremented with each digest of a process; older digests are dropped.
    std::uint64_t sequence = 0;
    /// Number of times it may still be relayed.
    std::uint8_t hops_left = 0;
    std::vector<std::uint8_t> bytes;

    friend bool operator==(load_digest const&, load_digest const&) = default;
};

} // namespace caperjunction::fleet

#endif
