#include "fleet/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace caperjunction::fleet {

std::uint64_t rendezvous_score(std::string_view name, std::uint64_t key)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

std::vector<std::size_t> rendezvous_order(std::vector<std::string> const& names,
                                          std::uint64_t key)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(names.size());
    for (auto const& name : names) {
        scores.push_back(rendezvous_score(name, key));
    }
    std::vector<std::size_t> order(names.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b]
                                      : names[a] < names[b];
    });
    return order;
}

std::string rendezvous_owner(std::vector<std::string> const& names,
                             std::uint64_t key)
{
    if (names.empty()) {
        return {};
    }
    return names[rendezvous_order(names, key).front()];
}

} // namespace caperjunction::fleet
