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

/// The task that decides: it owns the decision logic, the claims, this
/// host's place in the fleet and the admin address, and tells the relay what
/// to do.
///
/// Thread safety: none; owned by one task.
class control
{
public:
    /// Between two load digests to the peers.
    static constexpr model::milliseconds digest_period{250};
    /// Between two reads that confirm the list of hosts. Orders to engines
    /// that ignore fencing numbers need one within 10 s; an answer without a
    /// body costs some 200 bytes.
    static constexpr model::milliseconds confirm_period{5'000};
    /// Longest time that decisions wait for a view after a pause. Claims
    /// wait by rules of their own, for as long as it takes.
    static constexpr model::milliseconds max_refresh_wait{3'000};

    using relay_hook = std::function<void(net::relay_message)>;

    control(runtime::event_loop& loop,
            settings const& settings,
            metrics& metrics,
            relay_hook to_relay);

    void handle(net::relay_report& report);

    /// Begins a planned stop: readiness goes first, work goes on.
    void plan_stop();

    /// Called when the relay is idle and all votes have a new host.
    void on_stopped(std::function<void()> stopped)
    {
        m_stopped = std::move(stopped);
    }

    /// The configuration is in force and no stop is planned.
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
    void execute(decide::decision const& made);
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
    // Events that came while the view was outdated.
    std::vector<decide::event> m_deferred;
    std::shared_ptr<lists::catalogue const> m_catalogue;
    model::time_point m_defer_until{};
    bool m_is_deferring = false;
    // The list of hosts has been read from the service at least once.
    bool m_confirmed = false;
    bool m_stopping = false;
    bool m_relay_idle = false;
};

} // namespace caperjunction::program

#endif
