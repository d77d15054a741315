#include "routing/carried_readings.hpp"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {
namespace {

void carry(std::vector<peer_load> const& previous, std::vector<peer_load>& next)
{
    // Hosts of an earlier version tell measurements in each digest.
    if (std::any_of(next.begin(), next.end(), has_readings)) {
        return;
    }
    std::unordered_map<std::uint32_t, peer_load const*> known;
    for (peer_load const& item : previous) {
        if (has_readings(item)) {
            known[item.upstream] = &item;
        }
    }
    if (known.empty()) {
        return;
    }
    for (peer_load& item : next) {
        auto const found = known.find(item.upstream);
        if (found != known.end()) {
            item.readings = found->second->readings;
            item.load.memory_tokens = found->second->load.memory_tokens;
        }
    }
}

} // namespace

bool carries_readings(std::uint64_t sequence)
{
    constexpr std::uint64_t digests_per_reading = 8;
    return XXH3_64bits(&sequence, sizeof sequence) % digests_per_reading == 0;
}

void carry_readings(peer_digest const& previous, peer_digest& next)
{
    // One that could carry some and has none: there are none any more.
    if (carries_readings(next.sequence)) {
        return;
    }
    carry(previous.loads, next.loads);
    carry(previous.aggregated_loads, next.aggregated_loads);
    carry(previous.remote_loads, next.remote_loads);
}

} // namespace caperjunction::routing
