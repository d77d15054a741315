#ifndef CAPERJUNCTION_DECIDE_PLACER_HPP
#define CAPERJUNCTION_DECIDE_PLACER_HPP

#include "decide/engine_table.hpp"
#include "decide/entry.hpp"
#include "decide/link_budget.hpp"
#include "decide/placement.hpp"
#include "decide/prefix_index.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <random>

namespace caperjunction::decide {

/// Chooses an engine by predicted time to the first token: its queue, the
/// prompt's uncached part, the link.
///
/// Made for unequal load and for prompts with common prefixes. A few sampled
/// engines are weighed, not all: hosts that all choose the least loaded one
/// by the same late reports would flood it together, and the cost must not
/// grow with the fleet.
///
/// Thread safety: none; owned by one task.
class placer
{
public:
    placer(std::uint64_t seed,
           double link_bytes_per_second,
           model::milliseconds link_delay);

    /// \pre `waiting` has a model; its tier is below `tiers`, their number.
    placement place(entry const& waiting,
                    engine_table const& engines,
                    prefix_index const& prefixes,
                    std::size_t tiers,
                    model::time_point now);

    /// Books the link bytes of a placement that is used.
    void charge_link(placement const& chosen, model::time_point now);

private:
    struct choice;

    void sample(choice& own, engine_set const& from);
    static bool is_eligible(choice const& own, index engine);
    void evaluate(choice& own, index engine);
    void evaluate_remote(choice& own);
    void sample_remote(choice& own, engine_set const& from, double below);

    std::mt19937_64 m_random;
    link_budget m_link;
    model::milliseconds m_link_delay;
};

} // namespace caperjunction::decide

#endif
