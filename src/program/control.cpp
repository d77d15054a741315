#include "program/control.hpp"

#include "fleet/generation.hpp"
#include "runtime/log_line.hpp"

#include <chrono>
#include <random>
#include <utility>

namespace caperjunction::program {
namespace {

std::uint64_t own_generation()
{
    return fleet::make_generation(std::chrono::system_clock::now(),
                                  std::random_device{}());
}

booking_settings booking_settings_of(settings const& settings,
                                     std::uint64_t generation)
{
    booking_settings made;
    made.host = settings.host_name;
    made.generation = generation;
    made.first_fleet = settings.first_fleet;
    return made;
}

} // namespace

control::control(runtime::event_loop& loop,
                 settings const& settings,
                 metrics& metrics,
                 relay_hook to_relay)
    : m_loop(loop)
    , m_settings(settings)
    , m_generation(own_generation())
    , m_metrics(metrics)
    , m_to_relay(std::move(to_relay))
    , m_policy({settings.host_name,
                settings.region,
                settings.data_centre,
                m_generation},
               loop.clock(),
               [this](decide::decision const& made) {
                   carry_out(made);
               })
    , m_bookings(booking_settings_of(settings, m_generation),
                 make_booking_hooks())
    , m_node(loop, settings, m_generation)
    , m_orders(loop,
               settings.host_name,
               m_generation,
               [this](std::string const& to, fleet::order_request const& wish) {
                   m_node.send(to, wish);
               })
    , m_engines(loop)
    , m_admin(loop, settings.admin_listen)
{
    connect_node();
    add_routes();
    start_timers();
    m_node.start();
}

booking_hooks control::make_booking_hooks()
{
    booking_hooks hooks;
    hooks.send = [this](std::string const& to,
                        fleet::claim_message const& message) {
        m_node.send(to, message);
    };
    hooks.admit = [this](decide::request const& request) {
        decide_on(decide::request_arrived{request});
    };
    hooks.answer = [this](net::relay_message message) {
        m_to_relay(std::move(message));
    };
    return hooks;
}

void control::connect_node()
{
    m_node.lists_changed.connect(
        [this](std::shared_ptr<lists::catalogue const> const& catalogue) {
            take_lists(catalogue);
        });
    m_node.upstreams_changed.connect(
        [this](model::upstream_list const& upstreams) {
            take_upstreams(upstreams);
        });
    m_node.hosts_changed.connect([this](model::host_list const& hosts) {
        m_bookings.list(hosts, m_loop.now());
        m_orders.list(hosts);
        // A host that hears the list from peers has never read it itself;
        // until it has, it gives no vote.
        if (!m_confirmed) {
            m_node.confirm_hosts();
        }
    });
    m_node.list_confirmed.connect([this](model::time_point as_of) {
        m_confirmed = true;
        m_bookings.confirm(as_of, m_loop.now());
        m_orders.confirm(as_of);
    });
    m_node.value_checked.connect([this](bool accepted) {
        m_metrics.count_list(accepted);
    });
    m_node.host_changed.connect([this](fleet::host_changed const& change) {
        take_host_change(change);
    });
    m_node.digest_arrived.connect([this](fleet::digest_arrived const& digest) {
        decide_on(decide::digest_received{digest.host, digest.bytes});
    });
    m_node.message_received.connect(
        [this](std::string const& from, fleet::peer_message const& message) {
            take_message(from, message);
        });
    m_node.outdated.connect([this] {
        m_holding = true;
        m_hold_until = m_loop.now() + refresh_limit;
        m_node.confirm_hosts();
    });
    m_node.refreshed.connect([this] {
        flush_held();
    });
    m_engines.reported.connect([this](decide::engine_report const& report) {
        m_orders.report(report);
        decide_on(report);
    });
    m_engines.cache_changed.connect(
        [this](decide::cache_changed const& change) {
            decide_on(change);
        });
}

void control::start_timers()
{
    m_loop.every(decide::router::tick_period, [this] {
        decide_on(decide::tick{});
        m_bookings.tick(m_loop.now());
        m_orders.tick();
        if (m_holding && m_loop.now() >= m_hold_until) {
            flush_held();
        }
        finish_stop();
    });
    m_loop.every(digest_period, [this] {
        m_node.publish_digest(m_policy.digest());
    });
    m_loop.every(confirm_period, [this] {
        m_node.confirm_hosts();
    });
}

// After a pause this host still believes what it knew before. Decisions wait
// until its view has been refreshed; but not for ever, since with the service
// down and all peers cut off it has to go on by what it knows.
void control::decide_on(decide::event const& event)
{
    if (!m_holding) {
        m_policy.handle(event);
    } else if (!std::holds_alternative<decide::tick>(event)) {
        m_held.push_back(event);
    }
}

void control::flush_held()
{
    m_holding = false;
    for (decide::event const& event : std::exchange(m_held, {})) {
        m_policy.handle(event);
    }
}

void control::handle(net::relay_report& report)
{
    model::time_point const now = m_loop.now();
    if (auto const* event = std::get_if<decide::event>(&report)) {
        decide_on(*event);
    } else if (auto const* booking =
                   std::get_if<net::booking_arrived>(&report)) {
        m_policy.note_arrival(booking->request);
        m_bookings.arrive(*booking, now);
    } else if (auto const* kept = std::get_if<net::booking_answered>(&report)) {
        m_bookings.keep_answer(*kept, now);
    } else if (auto const* ended = std::get_if<net::exchange_ended>(&report)) {
        end_exchange(*ended);
    } else if (auto const* give =
                   std::get_if<net::hand_over_requested>(&report)) {
        if (!m_node.send(give->host, give->request)) {
            decide_on(decide::hand_over_refused{give->request.id, give->host});
        }
    } else if (auto const* part =
                   std::get_if<net::hand_over_chunk_ready>(&report)) {
        m_node.send(part->host, part->chunk);
    } else if (auto const* over = std::get_if<net::hand_over_ended>(&report)) {
        m_node.send(over->host, over->end);
    } else if (auto const* no =
                   std::get_if<net::hand_over_cancelled>(&report)) {
        m_node.send(no->host, fleet::hand_over_cancel{no->id});
    } else {
        m_relay_idle = true;
    }
}

void control::end_exchange(net::exchange_ended const& ended)
{
    m_bookings.end(ended.id, ended.outcome, m_loop.now());
    m_policy.finish(ended);
    m_metrics.count_ended(ended);
    if (m_catalogue != nullptr) {
        m_metrics.count_target(ended, *m_catalogue);
    }
}

void control::carry_out(decide::decision const& made)
{
    m_metrics.count_decision(made);
    if (auto const* shift = std::get_if<decide::shift_model>(&made)) {
        m_orders.wish({shift->engine, shift->model}, false);
        return;
    }
    auto const* to = std::get_if<decide::dispatch>(&made);
    if (to != nullptr && m_bookings.holds(to->id)) {
        start_booking(*to);
    } else {
        m_to_relay(made);
    }
}

void control::start_booking(decide::dispatch const& to)
{
    model::time_point const now = m_loop.now();
    auto const until = m_bookings.begin_dispatch(to.id, now);
    if (until) {
        m_to_relay(net::dispatch_booking{to, *until});
        return;
    }
    // Not inside the decision logic's own call, which led here.
    m_loop.defer([this, to] {
        decide_on(decide::request_cancelled{to.id});
        m_bookings.end(to.id, model::outcome::not_run, m_loop.now());
    });
}

void control::take_lists(
    std::shared_ptr<lists::catalogue const> const& catalogue)
{
    std::uint64_t const revision = catalogue->plans().revision;
    m_catalogue = catalogue;
    m_policy.note_revision(revision);
    m_metrics.set_revision(revision);
    m_policy.handle(decide::lists_changed{catalogue});
    m_to_relay(net::use_lists{catalogue});
}

void control::take_upstreams(model::upstream_list const& upstreams)
{
    m_to_relay(net::use_upstreams{upstreams});
    m_policy.handle(decide::upstreams_changed{upstreams});
    m_engines.set_engines(upstreams.engines);
    m_orders.use(upstreams);
}

void control::plan_stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    runtime::log_line("stop_planned")
        .field("drain_delay_ms", m_settings.drain_delay.count());
    m_node.plan_stop();
    m_orders.plan_stop();
    m_loop.after(m_settings.drain_delay, [this] {
        runtime::log_line("accepting_stopped")
            .field("running", m_policy.ledger().known());
        m_bookings.plan_stop(m_loop.now());
        m_to_relay(net::stop_accepting{});
    });
}

void control::finish_stop()
{
    if (m_relay_idle && m_stopped && m_bookings.handed_over()) {
        std::exchange(m_stopped, nullptr)();
    }
}

} // namespace caperjunction::program
