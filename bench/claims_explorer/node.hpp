#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_NODE_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_NODE_HPP

#include "bench/claims_explorer/scenario.hpp"
#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::claims_explorer {

/// Progress of the call at an entry host.
enum class call_stage : std::uint8_t
{
    idle,
    /// Claim started, no decision yet.
    waiting,
    /// Allowed to proceed, not dispatched yet.
    queued,
    dispatched,
};

/// One host: the production witness and claimant, and the state that the host
/// process keeps around them.
struct node
{
    node(scenario const& fixed,
         std::size_t index,
         std::uint64_t process,
         bool first_fleet);

    std::uint64_t generation;
    fleet::witness witness;
    fleet::claimant claimant;
    bool alive = true;
    bool leaving = false;
    /// Index of the host list in use.
    std::size_t list = 0;
    /// The host was paused during a clock jump and has not confirmed its list
    /// since.
    bool was_paused = false;
    /// The host has ticked since that pause.
    bool ticked_after_pause = false;
    call_stage stage = call_stage::idle;
    std::uint64_t ticket = 0;
    std::uint8_t starts = 0;
    /// The caller of `ticket` received "not run".
    bool reported_not_run = false;

    /// Returns a 64-bit hash of the complete node state.
    std::uint64_t hash(model::time_point now) const;
};

} // namespace caperjunction::claims_explorer

#endif
