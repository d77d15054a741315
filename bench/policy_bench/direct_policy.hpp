#ifndef CAPERJUNCTION_BENCH_DIRECT_POLICY_HPP
#define CAPERJUNCTION_BENCH_DIRECT_POLICY_HPP

#include "decide/decision.hpp"
#include "decide/event.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::bench {

/// Common part of the baselines: dispatches each request immediately, answers a
/// failed attempt with an error, and cancels the attempt of a caller that hung
/// up.
///
/// Thread safety: none.
class direct_policy
{
public:
    using outstanding_map = std::map<std::string, std::uint32_t>;
    /// Selects one of the upstreams; the list is not empty.
    using chooser = std::function<std::string const&(
        std::vector<std::string> const& upstreams, outstanding_map const&)>;
    using ranker = std::function<std::uint32_t(lists::catalogue const&,
                                               decide::request const&)>;

    direct_policy(chooser choose, ranker rank);

    void handle(decide::event const& event, std::vector<decide::decision>& out);

private:
    void handle_arrival(decide::request const& request,
                        std::vector<decide::decision>& out);
    void end(decide::attempt_ended const& ended,
             std::vector<decide::decision>& out);
    void cancel(model::request_id id, std::vector<decide::decision>& out);
    std::vector<std::string>
    upstreams_for(decide::request const& request) const;

    chooser m_choose;
    ranker m_rank;
    std::shared_ptr<lists::catalogue const> m_catalogue;
    model::upstream_list m_upstreams;
    outstanding_map m_outstanding;
    std::unordered_map<model::request_id, std::string> m_assigned_upstreams;
};

} // namespace caperjunction::bench

#endif
