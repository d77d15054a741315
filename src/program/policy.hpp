#ifndef CAPERJUNCTION_PROGRAM_POLICY_HPP
#define CAPERJUNCTION_PROGRAM_POLICY_HPP

#include "decide/event.hpp"
#include "decide/router.hpp"
#include "model/time.hpp"
#include "net/relay_report.hpp"
#include "program/request_tracker.hpp"
#include "program/trail.hpp"
#include "runtime/clock.hpp"

#include <functional>
#include <string>
#include <vector>

namespace caperjunction::program {

/// Runs the decision logic, logs each decision and records it in the trail.
///
/// Thread safety: none; owned by one task.
class policy
{
public:
    using decision_hook = std::function<void(decide::decision const&)>;

    policy(decide::router_settings const& settings,
           runtime::clock clock,
           decision_hook execute);

    void handle(decide::event const& event);

    /// Records a request that waits for its claim, before the decision logic
    /// receives it. Does nothing if the request is already recorded.
    void record_arrival(decide::request const& request);

    /// Logs the end of an exchange and removes the request; its trail stays.
    void finish(net::exchange_ended const& ended);

    /// Sets the revision of the lists that log lines contain.
    void set_list_revision(std::uint64_t revision)
    {
        m_revision = revision;
    }

    std::vector<std::uint8_t> digest() const
    {
        return m_router.digest(m_clock.now());
    }

    program::trail const& trail() const
    {
        return m_trail;
    }

    request_tracker const& requests() const
    {
        return m_tracker;
    }

private:
    void record_decision(decide::decision const& decision);

    decide::router m_router;
    runtime::clock m_clock;
    decision_hook m_execute;
    program::trail m_trail;
    request_tracker m_tracker;
    std::uint64_t m_revision = 0;
};

} // namespace caperjunction::program

#endif
