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

/// All callers of one run: they send, wait, hang up, and come back when they
/// were told to.
///
/// A caller stays in its region; the balancer picks a host there at random
/// for every send. One that was refused, or whose repeatable request failed,
/// sends again after the `Retry-After` (in whole seconds, as HTTP has it, and
/// up to a fifth later), at most `scenario::resends` times, and not
/// after new requests have ended. One that sees no
/// token for twice its class's `max_wait` gives up.
///
/// Thread safety: none.
class callers
{
public:
    /// \pre `trace` outlives this and does not change.
    callers(deployment const& where,
            scenario const& what,
            std::vector<planned_request> const& trace,
            event_queue& queue,
            fleet& hosts);
    callers(callers const&) = delete;
    callers& operator=(callers const&) = delete;

    void start();

    /// The final answer of a send.
    void answered(send const& which, model::milliseconds retry_after);

    bool all_done() const
    {
        return m_left == 0;
    }

    std::vector<caller> const& all() const
    {
        return m_callers;
    }

private:
    /// The caller that crashes engines sends this often at most.
    static constexpr std::uint32_t killer_sends = 12;
    static constexpr int patience = 2;

    void send_now(std::size_t index);
    void watch_patience(std::size_t index);
    void leave(std::size_t index);
    void close(std::size_t index);
    bool comes_back(caller const& who, send const& which) const;
    std::size_t balance(caller const& who) const;

    deployment const& m_where;
    scenario const& m_what;
    event_queue& m_queue;
    fleet& m_fleet;
    std::vector<caller> m_callers;
    std::size_t m_left = 0;
};

} // namespace caperjunction::bench

#endif
