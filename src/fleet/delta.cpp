#include "fleet/delta.hpp"

#include <algorithm>

namespace caperjunction::fleet {

delta make_delta(std::string const& before,
                 std::string const& after,
                 std::uint64_t revision)
{
    std::size_t const shorter = std::min(before.size(), after.size());
    std::size_t prefix = 0;
    while (prefix < shorter && before[prefix] == after[prefix]) {
        ++prefix;
    }
    std::size_t suffix = 0;
    while (suffix < shorter - prefix
           && before[before.size() - 1 - suffix]
                  == after[after.size() - 1 - suffix]) {
        ++suffix;
    }
    delta change;
    change.revision = revision;
    change.offset = static_cast<std::uint32_t>(prefix);
    change.removed =
        static_cast<std::uint32_t>(before.size() - prefix - suffix);
    change.inserted = after.substr(prefix, after.size() - prefix - suffix);
    return change;
}

bool apply_deltas(std::vector<delta> const& deltas, std::string& body)
{
    for (delta const& change : deltas) {
        if (change.offset > body.size()
            || change.removed > body.size() - change.offset) {
            return false;
        }
        body.replace(change.offset, change.removed, change.inserted);
    }
    return true;
}

} // namespace caperjunction::fleet
