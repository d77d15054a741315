#ifndef CAPERJUNCTION_FLEET_RENDEZVOUS_HPP
#define CAPERJUNCTION_FLEET_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// Score of a name for a key by rendezvous (highest random weight) hashing. All
/// hosts rank the same names equally, and adding or removing a name moves only
/// the keys for which it ranks first.
///
/// Thread safety: any thread.
std::uint64_t rendezvous_score(std::string_view name, std::uint64_t key);

/// Returns the indices of the names in descending score for `key`; equal scores
/// are ordered by name.
///
/// Thread safety: any thread.
std::vector<std::size_t> rendezvous_order(std::vector<std::string> const& names,
                                          std::uint64_t key);

/// Returns the highest ranked name for `key`; empty if there is none.
std::string rendezvous_owner(std::vector<std::string> const& names,
                             std::uint64_t key);

} // namespace caperjunction::fleet

#endif
