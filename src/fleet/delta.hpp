#ifndef CAPERJUNCTION_FLEET_DELTA_HPP
#define CAPERJUNCTION_FLEET_DELTA_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Replaces `removed` bytes at `offset` by `inserted`. An edit of a list
/// usually changes one place, so a delta has a few hundred bytes where the list
/// has a hundred thousand.
struct delta
{
    std::uint64_t revision = 0;
    std::uint32_t offset = 0;
    std::uint32_t removed = 0;
    std::string inserted;

    friend bool operator==(delta const&, delta const&) = default;
};

/// Returns the delta that turns `before` into `after`, which is `revision`.
delta make_delta(std::string const& before,
                 std::string const& after,
                 std::uint64_t revision);

/// Applies `deltas` in order to `body`. Returns false if one is out of range.
bool apply_deltas(std::vector<delta> const& deltas, std::string& body);

} // namespace caperjunction::fleet

#endif
