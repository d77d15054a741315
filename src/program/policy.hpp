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

/// Runs the decision logic, logs each decision and keeps its trail.
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

    /// Notes a request before the decision logic has it: one that waits for
    /// its claim first. Noting it again does nothing.
    void record_arrival(decide::request const& request);

    /// The exchange is over; it is logged and forgotten but for its trail.
    void finish(net::exchange_ended const& ended);

    /// Revision of the lists, for the log.
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
