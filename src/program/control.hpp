#ifndef CAPERJUNCTION_PROGRAM_CONTROL_HPP
#define CAPERJUNCTION_PROGRAM_CONTROL_HPP

#include "fleet/agent_event.hpp"
#include "net/admin_server.hpp"
#include "net/platform_reader.hpp"
#include "program/control_message.hpp"
#include "program/metrics.hpp"
#include "program/policy.hpp"
#include "program/settings.hpp"
#include "runtime/event_loop.hpp"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace caperjunction::program {

/// The task that decides: it owns the decision logic, the configuration and
/// the admin address, and tells the relay what to do.
///
/// Thread safety: none; owned by one task.
class control
{
public:
    using relay_hook = std::function<void(net::relay_message)>;

    control(runtime::event_loop& loop,
            settings const& settings,
            metrics& metrics,
            relay_hook to_relay);

    void handle(control_message& message);

    /// Begins a planned stop: readiness goes first, work goes on.
    void plan_stop();

    /// The lists are in force and no stop is planned.
    bool ready() const
    {
        return m_ready && !m_stopping;
    }

    std::uint16_t admin_port() const
    {
        return m_admin.port();
    }

private:
    void take_value(fleet::value_read const& read);
    void take_lists();
    void take_upstreams(std::string const& body);
    void watch_again(fleet::published_value value, bool failed);
    void add_routes();

    runtime::event_loop& m_loop;
    settings m_settings;
    metrics& m_metrics;
    relay_hook m_to_relay;
    policy m_policy;
    net::platform_reader m_reader;
    net::admin_server m_admin;
    std::array<fleet::value_read, fleet::published_value_count> m_values;
    bool m_ready = false;
    bool m_stopping = false;
};

} // namespace caperjunction::program

#endif
