#ifndef CAPERJUNCTION_DECIDE_MODEL_SHIFTER_HPP
#define CAPERJUNCTION_DECIDE_MODEL_SHIFTER_HPP

#include "decide/engine_table.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <vector>

namespace caperjunction::decide {

/// An engine that should serve another model.
struct model_shift
{
    index engine = no_index;
    index group = no_index;
};

/// Finds engines of an idle model for one that is short of them.
///
/// Made for demand that moves from one model to another, as at the start of a
/// campaign. Loading a model takes an engine away for minutes and costs the
/// store's rate, so it is asked for only when one model has been short and
/// another idle for some time, one engine at a time, and not back at once.
///
/// Thread safety: none; owned by one task.
class model_shifter
{
public:
    /// Looks at all models, of which there are few; called about once a
    /// second. `engine` is `no_index` if nothing is to be shifted.
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
