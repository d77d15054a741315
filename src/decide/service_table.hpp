#ifndef CAPERJUNCTION_DECIDE_SERVICE_TABLE_HPP
#define CAPERJUNCTION_DECIDE_SERVICE_TABLE_HPP

#include "decide/indices.hpp"
#include "decide/name_table.hpp"
#include "model/time.hpp"
#include "model/upstream_list.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// Instances of the plain services and this host's calls to them.
///
/// Thread safety: none; owned by one task.
class service_table
{
public:
    explicit service_table(std::string region);

    void apply(model::upstream_list const& listed);

    /// The index of a service; `no_index` if it was never listed.
    index find(std::string const& service) const
    {
        return m_services.find(service);
    }

    /// The instance with the fewest calls, preferring those that were reachable
    /// of late, then this region; `no_index` if all are full or paused, or only
    /// `avoided` is left.
    index choose(index service, index avoided, model::time_point now) const;

    /// Sends an instance no calls until then, or longer if it is paused
    /// already.
    void pause(index instance_index, model::time_point until);

    /// Records that an instance could not be reached. For some time it gets
    /// calls only if no other one is left: it has none, and would look the
    /// least loaded.
    void record_unreachable(index instance_index, model::time_point now);

    bool has_instances(index service) const;

    void record_start(index instance_index);

    /// \pre one `record_start` has had no `record_end`.
    void record_end(index instance_index);

    std::string const& name(index instance_index) const
    {
        return m_names.name(instance_index);
    }

private:
    struct instance
    {
        index service = no_index;
        bool own_region = false;
        bool listed = false;
        std::uint32_t outstanding = 0;
        model::time_point paused_until{};
        model::time_point avoided_until{};
    };

    static bool is_preferred(instance const& left,
                             instance const& right,
                             model::time_point now);

    std::string m_region;
    name_table m_services;
    name_table m_names;
    std::vector<instance> m_instances;
    std::vector<std::vector<index>> m_by_service;
};

} // namespace caperjunction::decide

#endif
