#include "decide/model_shifter.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Longer than a burst that the batches absorb. The idle time is much longer,
// because a short pause is no reason to lose an engine.
constexpr model::milliseconds min_queued_duration{10'000};
constexpr model::milliseconds min_idle_duration{30'000};
// Loading takes minutes; the effect of one shift shows before the next.
constexpr model::milliseconds min_shift_interval{120'000};
// Minimum number of engines of a model, so that one crash does not end it.
constexpr std::size_t min_engines = 3;
constexpr double max_idle_load = 0.4;
// Engines sampled to measure a model's load.
constexpr std::size_t sampled_engines = 64;

// Keeps the start time of a condition while it holds.
void update_since(model::time_point& since,
                  bool condition,
                  model::time_point now)
{
    if (!condition) {
        since = {};
    } else if (since == model::time_point{}) {
        since = now;
    }
}

bool has_lasted(model::time_point since,
                model::milliseconds min_duration,
                model::time_point now)
{
    return since != model::time_point{} && now - since >= min_duration;
}

double load_of(engine_table const& engines,
               model_group const& group,
               model::time_point now)
{
    double outstanding = 0.0;
    double limit = 0.0;
    std::size_t const count = std::min(group.engines.size(), sampled_engines);
    for (std::size_t position = 0; position < count; ++position) {
        engine_state const& engine = engines.at(group.engines[position]);
        outstanding += engine.outstanding(now);
        limit += engine.concurrency_limit();
    }
    return limit > 0.0 ? outstanding / limit : 1.0;
}

} // namespace

model_shift model_shifter::poll(engine_table const& engines,
                                model::time_point now)
{
    m_load_states.resize(engines.groups().size());
    for (index group = 0; group < m_load_states.size(); ++group) {
        observe(engines, group, now);
    }
    bool const interval_passed = m_shifted == model::time_point{}
                                 || now - m_shifted >= min_shift_interval;
    index const receiver = find_receiver(now);
    index const donor_group = find_donor(engines, now);
    if (!interval_passed || receiver == no_index || donor_group == no_index) {
        return {};
    }
    index const engine = find_engine(engines, donor_group);
    if (engine == no_index) {
        return {};
    }
    m_shifted = now;
    m_last_engine = engine;
    return {engine, receiver};
}

void model_shifter::observe(engine_table const& engines,
                            index group_index,
                            model::time_point now)
{
    model_group const& group = engines.groups()[group_index];
    bool const has_queue = group.queue.size() > 0;
    load_state& state = m_load_states[group_index];
    update_since(state.queued_since, has_queue, now);
    bool const is_idle = !has_queue && !group.engines.empty()
                         && load_of(engines, group, now) < max_idle_load;
    update_since(state.idle_since, is_idle, now);
}

index model_shifter::find_receiver(model::time_point now) const
{
    index found = no_index;
    for (index group_index = 0; group_index < m_load_states.size();
         ++group_index) {
        model::time_point const since = m_load_states[group_index].queued_since;
        if (has_lasted(since, min_queued_duration, now)
            && (found == no_index
                || since < m_load_states[found].queued_since)) {
            found = group_index;
        }
    }
    return found;
}

index model_shifter::find_donor(engine_table const& engines,
                                model::time_point now) const
{
    index found = no_index;
    for (index group_index = 0; group_index < m_load_states.size();
         ++group_index) {
        model::time_point const since = m_load_states[group_index].idle_since;
        bool const has_spare_engine =
            engines.groups()[group_index].engines.size() > min_engines;
        if (has_spare_engine && has_lasted(since, min_idle_duration, now)
            && (found == no_index || since < m_load_states[found].idle_since)) {
            found = group_index;
        }
    }
    return found;
}

index model_shifter::find_engine(engine_table const& engines, index group) const
{
    // The first by name of the engines that serve only this model. Hosts that
    // see the same load then request the same engine.
    index found = no_index;
    for (index const engine_index : engines.groups()[group].engines) {
        engine_state const& engine = engines.at(engine_index);
        if (engine_index == m_last_engine || engine.groups.size() != 1
            || engine.health != engine_health::good) {
            continue;
        }
        if (found == no_index || engine.name < engines.at(found).name) {
            found = engine_index;
        }
    }
    return found;
}

} // namespace caperjunction::decide
