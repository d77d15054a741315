#include "program/control.hpp"

#include "fleet/generation.hpp"
#include "runtime/log_line.hpp"

#include <chrono>
#include <random>
#include <utility>

namespace caperjunction::program {
namespace {

std::uint64_t make_own_generation()
{
    return fleet::make_generation(std::chrono::system_clock::now(),
                                  std::random_device{}());
}

booking_settings booking_settings_of(settings const& settings,
                                     std::uint64_t generation)
{
    booking_settings result;
    result.host = settings.host_name;
    result.generation = generation;
    result.first_fleet = settings.first_fleet;
    return result;
}

} // namespace

control::control(runtime::event_loop& loop,
                 settings const& settings,
                 metrics& metrics,
                 relay_hook to_relay)
    : m_loop(loop)
    , m_settings(settings)
    , m_generation(make_own_generation())
    , m_metrics(metrics)
    , m_to_relay(std::move(to_relay))
    , m_policy({settings.host_name,
                settings.region,
                settings.data_centre,
                m_generation},
               loop.clock(),
               [this](decide::decision const& decision) {
                   execute(decision);
               })
    , m_bookings(booking_settings_of(settings, m_generation),
                 make_booking_hooks())
    , m_node(loop, settings, m_generation)
    , m_orders(
          loop,
          settings.host_name,
          m_generation,
          [this](std::string const& to, fleet::order_request const& request) {
              m_node.send(to, request);
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
        handle_event(decide::request_arrived{request});
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
            apply_lists(catalogue);
        });
    m_node.upstreams_changed.connect(
        [this](model::upstream_list const& upstreams) {
            apply_upstreams(upstreams);
        });
    m_node.hosts_changed.connect([this](model::host_list const& hosts) {
        m_bookings.set_hosts(hosts, m_loop.now());
        m_orders.set_hosts(hosts);
        // A host that received the list only from peers has not confirmed
        // it. Until it has read the list itself, it grants no votes.
        if (!m_confirmed) {
            m_node.confirm_hosts();
        }
    });
    m_node.list_confirmed.connect([this](model::time_point as_of) {
        m_confirmed = true;
        m_bookings.confirm_hosts(as_of, m_loop.now());
        m_orders.confirm_hosts(as_of);
    });
    m_node.value_checked.connect([this](bool accepted) {
        m_metrics.count_list(accepted);
    });
    m_node.host_changed.connect([this](fleet::host_changed const& change) {
        handle_host_change(change);
    });
    m_node.digest_arrived.connect([this](fleet::digest_arrived const& digest) {
        handle_event(decide::digest_received{digest.host, digest.bytes});
    });
    m_node.message_received.connect(
        [this](std::string const& from, fleet::peer_message const& message) {
            handle_message(from, message);
        });
    m_node.outdated.connect([this] {
        m_is_deferring = true;
        m_defer_until = m_loop.now() + max_refresh_wait;
        m_node.confirm_hosts();
    });
    m_node.refreshed.connect([this] {
        flush_deferred();
    });
    m_engines.reported.connect([this](decide::engine_report const& report) {
        m_orders.report(report);
        handle_event(report);
    });
    m_engines.cache_changed.connect(
        [this](decide::cache_changed const& change) {
            handle_event(change);
        });
}

void control::start_timers()
{
    m_loop.every(decide::router::tick_period, [this] {
        handle_event(decide::tick{});
        m_bookings.tick(m_loop.now());
        m_orders.tick();
        if (m_is_deferring && m_loop.now() >= m_defer_until) {
            flush_deferred();
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

// After a pause, this host's view is outdated. Decisions wait until the view
// has been refreshed, but only for `max_refresh_wait`: with the service down
// and all peers unreachable, the host has to continue with its outdated view.
void control::handle_event(decide::event const& event)
{
    if (!m_is_deferring) {
        m_policy.handle(event);
    } else if (!std::holds_alternative<decide::tick>(event)) {
        m_deferred.push_back(event);
    }
}

void control::flush_deferred()
{
    m_is_deferring = false;
    for (decide::event const& event : std::exchange(m_deferred, {})) {
        m_policy.handle(event);
    }
}

void control::handle(net::relay_report& report)
{
    model::time_point const now = m_loop.now();
    if (auto const* event = std::get_if<decide::event>(&report)) {
        handle_event(*event);
    } else if (auto const* booking =
                   std::get_if<net::booking_arrived>(&report)) {
        m_policy.record_arrival(booking->request);
        m_bookings.start(*booking, now);
    } else if (auto const* answered =
                   std::get_if<net::booking_answered>(&report)) {
        m_bookings.keep_answer(*answered, now);
    } else if (auto const* ended = std::get_if<net::exchange_ended>(&report)) {
        end_exchange(*ended);
    } else if (auto const* requested =
                   std::get_if<net::hand_over_requested>(&report)) {
        if (!m_node.send(requested->host, requested->request)) {
            handle_event(decide::hand_over_refused{requested->request.id,
                                                   requested->host});
        }
    } else if (auto const* chunk =
                   std::get_if<net::hand_over_chunk_ready>(&report)) {
        m_node.send(chunk->host, chunk->chunk);
    } else if (auto const* hand_over =
                   std::get_if<net::hand_over_ended>(&report)) {
        m_node.send(hand_over->host, hand_over->end);
    } else if (auto const* cancelled =
                   std::get_if<net::hand_over_cancelled>(&report)) {
        m_node.send(cancelled->host, fleet::hand_over_cancel{cancelled->id});
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

void control::execute(decide::decision const& decision)
{
    m_metrics.count_decision(decision);
    if (auto const* shift = std::get_if<decide::shift_model>(&decision)) {
        m_orders.request({shift->engine, shift->model}, false);
        return;
    }
    auto const* to = std::get_if<decide::dispatch>(&decision);
    if (to != nullptr && m_bookings.contains(to->id)) {
        start_booking(*to);
    } else {
        m_to_relay(decision);
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
    // Deferred, because the decision logic's `handle` is on the call stack.
    m_loop.defer([this, to] {
        handle_event(decide::request_cancelled{to.id});
        m_bookings.end(to.id, model::outcome::not_run, m_loop.now());
    });
}

void control::apply_lists(
    std::shared_ptr<lists::catalogue const> const& catalogue)
{
    std::uint64_t const revision = catalogue->plans().revision;
    m_catalogue = catalogue;
    m_policy.set_list_revision(revision);
    m_metrics.set_revision(revision);
    m_policy.handle(decide::lists_changed{catalogue});
    m_to_relay(net::use_lists{catalogue});
}

void control::apply_upstreams(model::upstream_list const& upstreams)
{
    m_to_relay(net::use_upstreams{upstreams});
    m_policy.handle(decide::upstreams_changed{upstreams});
    m_engines.set_engines(upstreams.engines);
    m_orders.set_upstreams(upstreams);
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
            .field("running", m_policy.requests().known());
        m_bookings.plan_stop(m_loop.now());
        m_to_relay(net::stop_accepting{});
    });
}

void control::finish_stop()
{
    if (m_relay_idle && m_stopped && m_bookings.hand_over_complete()) {
        std::exchange(m_stopped, nullptr)();
    }
}

} // namespace caperjunction::program
