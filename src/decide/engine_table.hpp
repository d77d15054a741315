#ifndef CAPERJUNCTION_DECIDE_ENGINE_TABLE_HPP
#define CAPERJUNCTION_DECIDE_ENGINE_TABLE_HPP

#include "decide/engine_state.hpp"
#include "decide/host_position.hpp"
#include "decide/model_group.hpp"
#include "decide/name_table.hpp"
#include "model/upstream_list.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// All engines and models, with those that have room listed by model and
/// region, so that no decision looks through all of them.
///
/// Thread safety: none; owned by one task.
class engine_table
{
public:
    engine_table(std::string host, std::string region);

    /// Takes over the platform's list.
    void apply(model::upstream_list const& listed,
               std::vector<double> const& shares,
               model::time_point now);

    /// Takes over the models that an engine says it serves.
    void serve_models(index engine,
                      std::vector<std::string> const& models,
                      std::vector<double> const& shares,
                      model::time_point now);

    /// Sorts an engine anew after its load, bound or health changed.
    void refresh(index engine, model::time_point now);

    /// Renews this host's share of the engine's free room, then refreshes.
    void renew_allowance(index engine,
                         host_position const& position,
                         model::time_point now);

    /// Room as `refresh` would find it.
    engine_capacity capacity_of(engine_state const& engine,
                                model::time_point now) const;

    /// Whether an engine with room for any tier has some for the lowest.
    /// \pre the engine serves a model.
    bool has_capacity_for_lowest(engine_state const& engine,
                                 model::time_point now) const;

    index find(std::string const& name) const
    {
        return m_names.find(name);
    }

    index find_hash(std::uint32_t hash) const;

    /// \pre place < size().
    engine_state& at(index engine_index)
    {
        return m_engines[engine_index];
    }

    engine_state const& at(index engine_index) const
    {
        return m_engines[engine_index];
    }

    std::size_t size() const
    {
        return m_engines.size();
    }

    /// The group of a model; made if there is none.
    index group(std::string const& model, std::vector<double> const& shares);

    std::string const& model(index group) const
    {
        return m_models.name(group);
    }

    index find_model(std::string const& model) const
    {
        return m_models.find(model);
    }

    index find_model_hash(std::uint32_t hash) const;

    std::vector<model_group>& groups()
    {
        return m_groups;
    }

    std::vector<model_group> const& groups() const
    {
        return m_groups;
    }

private:
    index engine(std::string const& name);
    void leave_groups(index engine_index);
    void rank_engines();
    static double lower_tiers_limit(engine_state const& state);

    std::string m_host;
    std::string m_region;
    name_table m_names;
    name_table m_models;
    std::vector<engine_state> m_engines;
    std::vector<model_group> m_groups;
    std::unordered_map<std::uint32_t, index> m_hashes;
    std::unordered_map<std::uint32_t, index> m_model_hashes;
};

} // namespace caperjunction::decide

#endif
