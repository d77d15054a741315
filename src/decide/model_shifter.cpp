#include "decide/model_shifter.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Longer than a burst that the batches absorb, and much longer for the model
// that gives an engine away: idle for a moment is no reason to lose one.
constexpr model::milliseconds short_for{10'000};
constexpr model::milliseconds idle_for{30'000};
// Loading takes minutes; what one shift does shows before the next.
constexpr model::milliseconds between_shifts{120'000};
// A model keeps this many engines, so that one crash doesn't end it.
constexpr std::size_t least_engines = 3;
constexpr double idle_load = 0.4;
// Engines looked at to judge a model's load.
constexpr std::size_t sampled_engines = 64;

// The start of a spell goes on being noted while it lasts.
void track(model::time_point& since, bool holds, model::time_point now)
{
    if (!holds) {
        since = {};
    } else if (since == model::time_point{}) {
        since = now;
    }
}

bool lasting(model::time_point since,
             model::milliseconds least,
             model::time_point now)
{
    return since != model::time_point{} && now - since >= least;
}

double load_of(engine_table const& engines,
               model_group const& group,
               model::time_point now)
{
    double outstanding = 0.0;
    double bound = 0.0;
    std::size_t const count = std::min(group.engines.size(), sampled_engines);
    for (std::size_t place = 0; place < count; ++place) {
        engine_state const& engine = engines.at(group.engines[place]);
        outstanding += engine.outstanding(now);
        bound += engine.bound();
    }
    return bound > 0.0 ? outstanding / bound : 1.0;
}

} // namespace

model_shift model_shifter::look(engine_table const& engines,
                                model::time_point now)
{
    m_spells.resize(engines.groups().size());
    for (index group = 0; group < m_spells.size(); ++group) {
        observe(engines, group, now);
    }
    bool const rested =
        m_shifted == model::time_point{} || now - m_shifted >= between_shifts;
    index const to = needy(now);
    index const from = donor(engines, now);
    if (!rested || to == no_index || from == no_index) {
        return {};
    }
    index const engine = engine_of(engines, from);
    if (engine == no_index) {
        return {};
    }
    m_shifted = now;
    m_last_engine = engine;
    return {engine, to};
}

void model_shifter::observe(engine_table const& engines,
                            index place,
                            model::time_point now)
{
    model_group const& group = engines.groups()[place];
    bool const waits = group.queue.size() > 0;
    spell& own = m_spells[place];
    track(own.short_since, waits, now);
    bool const idle = !waits && !group.engines.empty()
                      && load_of(engines, group, now) < idle_load;
    track(own.idle_since, idle, now);
}

index model_shifter::needy(model::time_point now) const
{
    index found = no_index;
    for (index place = 0; place < m_spells.size(); ++place) {
        model::time_point const since = m_spells[place].short_since;
        if (lasting(since, short_for, now)
            && (found == no_index || since < m_spells[found].short_since)) {
            found = place;
        }
    }
    return found;
}

index model_shifter::donor(engine_table const& engines,
                           model::time_point now) const
{
    index found = no_index;
    for (index place = 0; place < m_spells.size(); ++place) {
        model::time_point const since = m_spells[place].idle_since;
        bool const spare =
            engines.groups()[place].engines.size() > least_engines;
        if (spare && lasting(since, idle_for, now)
            && (found == no_index || since < m_spells[found].idle_since)) {
            found = place;
        }
    }
    return found;
}

index model_shifter::engine_of(engine_table const& engines, index group) const
{
    // The first by name of those that serve nothing else: all hosts that see
    // the same load name the same engine, so their wishes agree.
    index found = no_index;
    for (index const place : engines.groups()[group].engines) {
        engine_state const& engine = engines.at(place);
        if (place == m_last_engine || engine.groups.size() != 1
            || engine.health != engine_health::good) {
            continue;
        }
        if (found == no_index || engine.name < engines.at(found).name) {
            found = place;
        }
    }
    return found;
}

} // namespace caperjunction::decide
