#include "program/engine_orders.hpp"

#include "runtime/log_line.hpp"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace caperjunction::program {
namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

fleet::order_settings settings_of(std::string const& host,
                                  std::uint64_t generation)
{
    fleet::order_settings result;
    result.host = host;
    result.generation = generation;
    return result;
}

net::upstream_timeouts order_timeouts()
{
    net::upstream_timeouts timeouts;
    timeouts.first_byte = fleet::order_settings{}.delivery_timeout;
    timeouts.progress = fleet::order_settings{}.delivery_timeout;
    return timeouts;
}

/// Encodes a fencing number as one integer: the list's revision in the upper 32
/// bits, then the second in which the ordering process started. A host that
/// restarts within one second sends an equal number, which engines accept. This
/// is safe, because its former process no longer runs.
std::uint64_t encode_fencing_number(fleet::fencing_number const& number)
{
    constexpr unsigned revision_shift = 32;
    constexpr unsigned generation_shift = 30;
    constexpr std::uint64_t low = 0xffff'ffff;
    return (number.list_revision << revision_shift)
           | ((number.generation >> generation_shift) & low);
}

fleet::order_end end_of(net::call_end end, int status)
{
    if (end == net::call_end::complete && status == status_ok) {
        return fleet::order_end::done;
    }
    if (end == net::call_end::complete && status == status_conflict) {
        return fleet::order_end::outdated;
    }
    return fleet::order_end::failed;
}

char const* name_of(fleet::order_end end)
{
    switch (end) {
    case fleet::order_end::done:
        return "done";
    case fleet::order_end::outdated:
        return "outdated";
    case fleet::order_end::not_sent:
        return "not_sent";
    case fleet::order_end::failed:
        break;
    }
    return "failed";
}

} // namespace

engine_orders::engine_orders(runtime::event_loop& loop,
                             std::string const& host,
                             std::uint64_t generation,
                             forward_hook forward)
    : m_loop(loop)
    , m_orderer(settings_of(host, generation))
    , m_forward(std::move(forward))
    , m_client(loop, order_timeouts())
{
}

void engine_orders::set_hosts(model::host_list const& hosts)
{
    fleet::order_hosts_listed listed;
    listed.revision = hosts.revision;
    for (model::host const& host : hosts.members) {
        if (!host.leaving) {
            listed.hosts.push_back(host.name);
        }
    }
    handle_event(listed);
}

void engine_orders::confirm_hosts(model::time_point as_of)
{
    handle_event(fleet::order_hosts_confirmed{as_of});
}

void engine_orders::set_upstreams(model::upstream_list const& upstreams)
{
    std::map<std::string, known_engine> known;
    for (model::engine const& engine : upstreams.engines) {
        if (!engine.leaving) {
            known[engine.name] = {
                engine.address,
                {engine.name, engine.checks_fencing, engine.models}};
        }
    }
    m_engines = std::move(known);
    update_engines();
}

void engine_orders::report(decide::engine_report const& report)
{
    auto const found = m_engines.find(report.engine);
    if (found == m_engines.end() || report.models.empty()
        || found->second.facts.models == report.models) {
        return;
    }
    found->second.facts.models = report.models;
    update_engines();
}

void engine_orders::update_engines()
{
    fleet::order_engines_listed listed;
    for (auto const& [name, engine] : m_engines) {
        listed.engines.push_back(engine.facts);
    }
    handle_event(listed);
}

void engine_orders::request(fleet::order_request const& request, bool forwarded)
{
    handle_event(fleet::order_requested{request, forwarded});
}

void engine_orders::tick()
{
    handle_event(fleet::order_tick{});
}

void engine_orders::plan_stop()
{
    handle_event(fleet::order_stop_planned{});
}

void engine_orders::handle_event(fleet::order_event const& event)
{
    std::vector<fleet::order_decision> decisions;
    m_orderer.handle(event, m_loop.now(), decisions);
    for (fleet::order_decision const& decision : decisions) {
        if (auto const* forward =
                std::get_if<fleet::order_request_forward>(&decision)) {
            m_forward(forward->to, forward->request);
        } else if (auto const* outgoing =
                       std::get_if<fleet::order_send>(&decision)) {
            send(outgoing->order);
        }
    }
}

void engine_orders::send(fleet::order const& order)
{
    auto const found = m_engines.find(order.engine);
    if (found == m_engines.end() || !m_orderer.may_send(order, m_loop.now())) {
        m_loop.defer([this, name = order.engine] {
            handle_event(fleet::order_ended{name, fleet::order_end::not_sent});
        });
        return;
    }
    net::upstream_call call;
    call.to = found->second.address;
    call.path = "/v1/orders";
    call.needs_new_connection = true;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = fmt::format(R"({{"fencing":{},"model":"{}","action":"load"}})",
                            encode_fencing_number(order.number),
                            order.model);
    auto const status = std::make_shared<int>(0);
    net::call_hooks hooks;
    hooks.head = [status](net::call_head const& head) {
        *status = head.status;
    };
    hooks.done = [this, status, order](net::call_end end) {
        fleet::order_end const ended = end_of(end, *status);
        runtime::log_line("engine_ordered")
            .field("upstream", order.engine)
            .field("model", order.model)
            .field("end", name_of(ended));
        handle_event(fleet::order_ended{order.engine, ended});
    };
    m_client.start(call, std::move(hooks));
}

} // namespace caperjunction::program
