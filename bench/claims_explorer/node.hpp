#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_NODE_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_NODE_HPP

#include "bench/claims_explorer/scenario.hpp"
#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::claims_explorer {

/// Where the entry host's caller stands.
enum class call_stage : std::uint8_t
{
    idle,
    /// Started; no answer yet.
    waiting,
    /// Told to proceed, not dispatched.
    queued,
    dispatched,
};

/// One host: its real witness and claimant, and what its wiring knows.
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
    /// Index of the list that it goes by.
    std::size_t list = 0;
    /// It slept through a leap and hasn't confirmed its list since.
    bool slept = false;
    /// It woke up (ticked) since it slept.
    bool woke = false;
    call_stage stage = call_stage::idle;
    std::uint64_t ticket = 0;
    std::uint8_t starts = 0;
    /// The caller of `ticket` was told "not run".
    bool told_not_run = false;

    /// 64 bits of hash over all of it.
    std::uint64_t hash(model::time_point now) const;
};

} // namespace caperjunction::claims_explorer

#endif
