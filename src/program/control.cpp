#include "program/control.hpp"

#include "lists/check.hpp"
#include "lists/parse.hpp"
#include "lists/parse_upstreams.hpp"
#include "net/caller_reply.hpp"
#include "program/report.hpp"
#include "runtime/log_line.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds watch_retry{500};

void log_faults(std::vector<lists::fault> const& faults)
{
    for (lists::fault const& item : faults) {
        runtime::log_line("list_fault")
            .field("file", item.file)
            .field("path", item.path)
            .field("message", item.message)
            .field("remedy", item.remedy);
    }
}

} // namespace

control::control(runtime::event_loop& loop,
                 settings const& settings,
                 metrics& metrics,
                 relay_hook to_relay)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_to_relay(std::move(to_relay))
    , m_policy({settings.host_name, settings.region, settings.data_centre, 1},
               loop.clock(),
               [this](decide::decision const& decision) {
                   m_metrics.count_decision(decision);
                   m_to_relay(decision);
               })
    , m_reader(loop, settings.platform, settings.watch_wait)
    , m_admin(loop, settings.admin_listen)
{
    m_reader.arrived.connect([this](fleet::value_read const& read) {
        take_value(read);
    });
    m_reader.ended.connect([this](fleet::read_ended const& end) {
        watch_again(end.value, end.failed);
    });
    for (std::size_t place = 0; place < m_values.size(); ++place) {
        m_values[place].value = static_cast<fleet::published_value>(place);
        m_reader.read(m_values[place].value);
    }
    m_loop.every(decide::router::tick_period, [this] {
        m_policy.handle(decide::tick{});
    });
    add_routes();
}

void control::handle(control_message& message)
{
    if (auto const* event = std::get_if<decide::event>(&message)) {
        m_policy.handle(*event);
    } else if (auto const* ended = std::get_if<net::exchange_ended>(&message)) {
        m_policy.finish(*ended);
        m_metrics.count_ended(*ended);
    }
}

void control::watch_again(fleet::published_value value, bool failed)
{
    if (!failed) {
        m_reader.watch(value, m_values[fleet::index_of(value)].revision);
        return;
    }
    runtime::log_line("platform_unreachable")
        .field("value", fleet::to_string(value))
        .field("remedy",
               "check --platform and the service; the last lists "
               "stay in force");
    m_loop.after(watch_retry, [this, value] {
        m_reader.watch(value, m_values[fleet::index_of(value)].revision);
    });
}

void control::take_value(fleet::value_read const& read)
{
    fleet::value_read& held = m_values[fleet::index_of(read.value)];
    if (read.revision > held.revision) {
        held = read;
        if (read.value == fleet::published_value::upstreams) {
            take_upstreams(*read.body);
        } else if (read.value != fleet::published_value::hosts) {
            take_lists();
        }
    }
    m_reader.watch(read.value, held.revision);
}

void control::take_lists()
{
    fleet::value_read const& plans =
        m_values[fleet::index_of(fleet::published_value::plans)];
    fleet::value_read const& entitlements =
        m_values[fleet::index_of(fleet::published_value::entitlements)];
    if (plans.body == nullptr || entitlements.body == nullptr) {
        return;
    }
    std::vector<lists::fault> faults;
    auto parsed_plans = lists::parse_plans(*plans.body, "plans", faults);
    auto parsed_entitlements =
        lists::parse_entitlements(*entitlements.body, "entitlements", faults);
    if (faults.empty()) {
        faults = lists::check(parsed_plans, parsed_entitlements);
    }
    m_metrics.count_list(faults.empty());
    if (!faults.empty()) {
        log_faults(faults);
        return;
    }
    parsed_plans.revision = plans.revision;
    parsed_entitlements.revision = entitlements.revision;
    auto const catalogue = std::make_shared<lists::catalogue const>(
        std::move(parsed_plans), std::move(parsed_entitlements));
    m_policy.note_revision(plans.revision);
    m_metrics.set_revision(plans.revision);
    m_policy.handle(decide::lists_changed{catalogue});
    m_to_relay(net::use_lists{catalogue});
    runtime::log_line("lists_in_force")
        .field("plans_revision", plans.revision)
        .field("entitlements_revision", entitlements.revision);
    m_ready = true;
}

void control::take_upstreams(std::string const& body)
{
    std::vector<lists::fault> faults;
    model::upstreams const parsed =
        lists::parse_upstreams(body, "upstreams", faults);
    if (!faults.empty()) {
        log_faults(faults);
        return;
    }
    m_to_relay(net::use_upstreams{parsed});
    m_policy.handle(decide::upstreams_changed{parsed});
    runtime::log_line("upstreams_in_force")
        .field("engines", parsed.engines.size())
        .field("services", parsed.services.size());
}

void control::plan_stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    runtime::log_line("stop_planned")
        .field("drain_delay_ms", m_settings.drain_delay.count());
    m_loop.after(m_settings.drain_delay, [this] {
        runtime::log_line("accepting_stopped")
            .field("running", m_policy.ledger().known());
        m_to_relay(net::stop_accepting{});
    });
}

void control::add_routes()
{
    m_admin.serve("/livez", [](std::string const& /*id*/) {
        return net::admin_answer{200, "text/plain", "alive\n"};
    });
    m_admin.serve("/readyz", [this](std::string const& /*id*/) {
        return ready() ? net::admin_answer{200, "text/plain", "ready\n"}
                       : net::admin_answer{503, "text/plain", "not ready\n"};
    });
    m_admin.serve("/metrics", [this](std::string const& /*id*/) {
        return net::admin_answer{
            200, "text/plain; version=0.0.4", m_metrics.text()};
    });
    m_admin.serve("/explain", [this](std::string const& id) {
        return explain_answer(m_policy.trail(), id);
    });
    m_admin.serve("/status", [this](std::string const& /*id*/) {
        host_status status;
        status.host = m_settings.host_name;
        status.region = m_settings.region;
        status.data_centre = m_settings.data_centre;
        status.ready = m_ready;
        status.stopping = m_stopping;
        for (fleet::value_read const& value : m_values) {
            status.revisions[std::string(fleet::to_string(value.value))] =
                value.revision;
        }
        return status_answer(status, m_policy.ledger());
    });
}

} // namespace caperjunction::program
