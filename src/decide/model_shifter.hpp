#ifndef CAPERJUNCTION_DECIDE_MODEL_SHIFTER_HPP
#define CAPERJUNCTION_DECIDE_MODEL_SHIFTER_HPP

#include "decide/engine_table.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <vector>

namespace caperjunction::decide {

/// An engine and the model that it should load.
struct model_shift
{
    index engine = no_index;
    index group = no_index;
};

/// Finds engines of an idle model for a model that lacks engines.
///
/// Demand can move from one model to another, for example at the start of a
/// campaign. Loading a model takes an engine out of service for minutes and
/// uses the bandwidth of the model store. A shift is therefore requested only
/// if one model has had a queue and another has been idle for some time, one
/// engine at a time, and never twice in a row for the same engine.
///
/// Thread safety: none; owned by one task.
class model_shifter
{
public:
    /// Checks all models, of which there are few; called about once per second.
    /// `engine` is `no_index` if no shift is needed.
    model_shift poll(engine_table const& engines, model::time_point now);

private:
    struct load_state
    {
        model::time_point queued_since{};
        model::time_point idle_since{};
    };

    void
    observe(engine_table const& engines, index group, model::time_point now);
    index find_receiver(model::time_point now) const;
    index find_donor(engine_table const& engines, model::time_point now) const;
    index find_engine(engine_table const& engines, index group) const;

    std::vector<load_state> m_load_states;
    model::time_point m_shifted{};
    index m_last_engine = no_index;
};

} // namespace caperjunction::decide

#endif
