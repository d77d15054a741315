#ifndef CAPERJUNCTION_BENCH_CALLERS_HPP
#define CAPERJUNCTION_BENCH_CALLERS_HPP

#include "bench/policy_bench/caller.hpp"
#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/fleet.hpp"
#include "bench/policy_bench/scenario.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// All callers of one run: they send, wait, hang up and retry.
///
/// A caller stays in its region; the load balancer selects a random host there
/// for each send. A caller that was refused, or whose repeatable request
/// failed, sends again after the `Retry-After` (in whole seconds, as in HTTP,
/// plus up to a fifth), at most `scenario::resends` times, and not after the
/// end of new requests. A caller that receives no token within twice the
/// `max_wait` of its class gives up.
///
/// Thread safety: none.
class callers
{
public:
    /// \pre `trace` outlives this object and does not change.
    callers(deployment const& deployment,
            scenario const& scenario,
            std::vector<planned_request> const& trace,
            event_queue& queue,
            fleet& hosts);
    callers(callers const&) = delete;
    callers& operator=(callers const&) = delete;

    void start();

    /// Handles the final answer of a send.
    void answered(send const& request, model::milliseconds retry_after);

    bool all_done() const
    {
        return m_open_callers == 0;
    }

    std::vector<caller> const& all() const
    {
        return m_callers;
    }

private:
    /// Maximum sends of the caller whose request crashes engines.
    static constexpr std::uint32_t max_killer_sends = 12;
    static constexpr int give_up_factor = 2;

    void send_now(std::size_t index);
    void schedule_give_up(std::size_t index);
    void leave(std::size_t index);
    void close(std::size_t index);
    bool may_resend(caller const& sender, send const& request) const;
    std::size_t balance(caller const& sender) const;

    deployment const& m_deployment;
    scenario const& m_scenario;
    event_queue& m_queue;
    fleet& m_fleet;
    std::vector<caller> m_callers;
    std::size_t m_open_callers = 0;
};

} // namespace caperjunction::bench

#endif
