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

/// All engines and models. Engines with free capacity are indexed by model and
/// region, so that no decision scans all engines.
///
/// Thread safety: none; owned by one task.
class engine_table
{
public:
    engine_table(std::string host, std::string region);

    /// Applies the platform's list of upstreams.
    void apply(model::upstream_list const& listed,
               std::vector<double> const& shares,
               model::time_point now);

    /// Applies the models that an engine reports to serve.
    void serve_models(index engine,
                      std::vector<std::string> const& models,
                      std::vector<double> const& shares,
                      model::time_point now);

    /// Updates the capacity index after the engine's load, limit or health
    /// changed.
    void refresh(index engine, model::time_point now);

    /// Computes this host's share of the engine's free capacity again, at most
    /// once per interval, and calls `refresh`.
    void renew_allowance(index engine,
                         host_position const& position,
                         model::time_point now);

    /// Capacity that `refresh` would store now.
    engine_capacity capacity_of(engine_state const& engine,
                                model::time_point now) const;

    /// Whether an engine with capacity for any tier has some for the lowest.
    /// \pre the engine serves a model.
    bool has_capacity_for_lowest(engine_state const& engine,
                                 model::time_point now) const;

    index find(std::string const& name) const
    {
        return m_names.find(name);
    }

    index find_hash(std::uint32_t hash) const;

    /// \pre engine_index < size().
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

    /// Index of a model's group; creates the group if it does not exist.
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

    /// Whether an engine of the group that stays has this software.
    bool has_software(index group, index software) const;

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
    name_table m_software;
    std::vector<engine_state> m_engines;
    std::vector<model_group> m_groups;
    std::unordered_map<std::uint32_t, index> m_hashes;
    std::unordered_map<std::uint32_t, index> m_model_hashes;
};

} // namespace caperjunction::decide

#endif
