#ifndef CAPERJUNCTION_FLEET_RENDEZVOUS_HPP
#define CAPERJUNCTION_FLEET_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// How well a name fits a key, by highest-random-weight hashing: every host
/// ranks the same names alike, and a name that comes or goes moves only the
/// keys that it ranks first for.
///
/// Thread safety: any thread.
std::uint64_t rendezvous_score(std::string_view name, std::uint64_t key);

/// Indices of the names, the best for `key` first; equal scores go by name.
///
/// Thread safety: any thread.
std::vector<std::size_t> rendezvous_order(std::vector<std::string> const& names,
                                          std::uint64_t key);

/// The best name for `key`; empty if there is none.
std::string rendezvous_owner(std::vector<std::string> const& names,
                             std::uint64_t key);

} // namespace caperjunction::fleet

#endif
