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

/// What the baselines share: every request goes to an upstream at once, a
/// failed attempt is answered as such, a hang-up is cancelled.
///
/// Thread safety: none.
class direct_policy
{
public:
    using outstanding_map = std::map<std::string, std::uint32_t>;
    /// Picks one of the upstreams, which are not empty.
    using chooser = std::function<std::string const&(
        std::vector<std::string> const& upstreams, outstanding_map const&)>;
    using ranker = std::function<std::uint32_t(lists::catalogue const&,
                                               decide::request const&)>;

    direct_policy(chooser choose, ranker rank);

    void handle(decide::event const& event, std::vector<decide::decision>& out);

private:
    void arrive(decide::request const& request,
                std::vector<decide::decision>& out);
    void end(decide::attempt_ended const& ended,
             std::vector<decide::decision>& out);
    void cancel(model::request_id id, std::vector<decide::decision>& out);
    std::vector<std::string> serving(decide::request const& request) const;

    chooser m_choose;
    ranker m_rank;
    std::shared_ptr<lists::catalogue const> m_catalogue;
    model::upstream_list m_upstreams;
    outstanding_map m_outstanding;
    std::unordered_map<model::request_id, std::string> m_flights;
};

} // namespace caperjunction::bench

#endif
