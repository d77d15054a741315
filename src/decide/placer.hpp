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

/// Selects an engine by the predicted time to the first token: pending work,
/// uncached part of the prompt, and link delay.
///
/// Only a few sampled engines are evaluated. If all hosts chose the least
/// loaded engine from the same delayed reports, they would overload it
/// together; and the cost must not grow with the size of the fleet. Engines of
/// this region that hold a prefix of the prompt are always evaluated.
///
/// Thread safety: none; owned by one task.
class placer
{
public:
    placer(std::uint64_t seed,
           double link_bytes_per_second,
           model::milliseconds link_delay);

    /// \pre `waiting` has a model; its tier is below `tiers`, the number of
    /// tiers.
    placement place(entry const& waiting,
                    engine_table const& engines,
                    prefix_index const& prefixes,
                    std::size_t tiers,
                    model::time_point now);

    /// Charges the link bytes of a placement that is used.
    void charge_link(placement const& chosen, model::time_point now);

private:
    struct selection;

    void sample(selection& selected, engine_set const& from);
    static bool is_eligible(selection const& selected, index engine);
    void evaluate(selection& selected, index engine);
    void evaluate_remote(selection& selected);
    void
    sample_remote(selection& selected, engine_set const& from, double max_load);

    std::mt19937_64 m_random;
    link_budget m_link;
    model::milliseconds m_link_delay;
};

} // namespace caperjunction::decide

#endif
