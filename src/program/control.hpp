#ifndef CAPERJUNCTION_PROGRAM_CONTROL_HPP
#define CAPERJUNCTION_PROGRAM_CONTROL_HPP

#include "net/admin_server.hpp"
#include "net/engine_reader.hpp"
#include "net/relay_message.hpp"
#include "net/relay_report.hpp"
#include "program/bookings.hpp"
#include "program/engine_orders.hpp"
#include "program/fleet_node.hpp"
#include "program/metrics.hpp"
#include "program/policy.hpp"
#include "program/report.hpp"
#include "program/settings.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace caperjunction::program {

/// Control task. Owns the decision logic, the claims, this host's fleet
/// membership and the admin server, and sends decisions to the relay.
///
/// Thread safety: none; owned by one task.
class control
{
public:
    /// Interval between two load digests to peers.
    static constexpr model::milliseconds digest_period{250};
    /// Interval between two reads that confirm the host list. Orders to engines
    /// that ignore fencing numbers require a confirmation within 10 s. An
    /// answer without a body costs about 200 bytes.
    static constexpr model::milliseconds confirm_period{5'000};
    /// Maximum time for which decisions wait for a refreshed view after a
    /// pause. Claims follow their own rules and wait without a limit.
    static constexpr model::milliseconds max_refresh_wait{3'000};

    using relay_hook = std::function<void(net::relay_message)>;

    control(runtime::event_loop& loop,
            settings const& settings,
            metrics& metrics,
            relay_hook to_relay);

    void handle(net::relay_report& report);

    /// Starts a planned stop: the host reports not ready and keeps working.
    void plan_stop();

    /// Sets the callback for a completed stop: the relay is idle and all votes
    /// are handed over.
    void on_stopped(std::function<void()> stopped)
    {
        m_stopped = std::move(stopped);
    }

    /// Returns whether the configuration is in force and no stop is planned.
    bool ready() const
    {
        return m_node.ready() && !m_stopping;
    }

    std::uint16_t admin_port() const
    {
        return m_admin.port();
    }

    std::uint16_t peer_port() const
    {
        return m_node.peer_port();
    }

    fleet::host_view const& view() const
    {
        return *m_node.view();
    }

private:
    void connect_node();
    void start_timers();
    void handle_event(decide::event const& event);
    void flush_deferred();
    void execute(decide::decision const& decision);
    void start_booking(decide::dispatch const& to);
    void apply_lists(std::shared_ptr<lists::catalogue const> const& catalogue);
    void apply_upstreams(model::upstream_list const& upstreams);
    void handle_host_change(fleet::host_changed const& change);
    void handle_message(std::string const& from,
                        fleet::peer_message const& message);
    void end_exchange(net::exchange_ended const& ended);
    void finish_stop();
    void add_routes();
    host_status status() const;
    booking_hooks make_booking_hooks();

    runtime::event_loop& m_loop;
    settings m_settings;
    std::uint64_t m_generation;
    metrics& m_metrics;
    relay_hook m_to_relay;
    std::function<void()> m_stopped;
    policy m_policy;
    bookings m_bookings;
    fleet_node m_node;
    engine_orders m_orders;
    net::engine_reader m_engines;
    net::admin_server m_admin;
    // Events received while the view was outdated.
    std::vector<decide::event> m_deferred;
    std::shared_ptr<lists::catalogue const> m_catalogue;
    model::time_point m_defer_until{};
    bool m_is_deferring = false;
    // The host list has been read from the service at least once.
    bool m_confirmed = false;
    bool m_stopping = false;
    bool m_relay_idle = false;
};

} // namespace caperjunction::program

#endif
