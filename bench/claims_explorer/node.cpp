#include "bench/claims_explorer/node.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <xxhash.h>

namespace caperjunction::claims_explorer {

namespace {

fleet::witness_settings settings_of(scenario const& fixed,
                                    std::size_t index,
                                    std::uint64_t process,
                                    bool first_fleet)
{
    fleet::witness_settings settings;
    settings.host = fixed.names[index];
    settings.generation = process;
    settings.claims = fixed.settings;
    settings.first_fleet = first_fleet;
    return settings;
}

} // namespace

node::node(scenario const& fixed,
           std::size_t index,
           std::uint64_t process,
           bool first_fleet)
    : generation(process)
    , witness(settings_of(fixed, index, process, first_fleet))
    , claimant(fixed.names[index], process, fixed.settings)
{
}

std::uint64_t node::hash(model::time_point now) const
{
    std::string bytes;
    fleet::append(bytes, alive ? generation : 0);
    // A restarted host keeps the number of calls that its callers have sent.
    fleet::append(bytes, starts);
    if (alive) {
        witness.fingerprint(now, bytes);
        claimant.fingerprint(now, bytes);
        fleet::append(bytes, list);
        fleet::append(bytes,
                      (leaving ? 1U : 0U) + (was_paused ? 2U : 0U)
                          + (ticked_after_pause ? 4U : 0U)
                          + (reported_not_run ? 8U : 0U));
        fleet::append(bytes, static_cast<std::uint64_t>(stage));
    }
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace caperjunction::claims_explorer
