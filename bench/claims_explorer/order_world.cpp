#include "bench/claims_explorer/order_world.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace caperjunction::claims_explorer {

namespace {

constexpr auto engine_name = "engine";

std::string name_of(std::size_t host)
{
    return "host-" + std::to_string(host);
}

} // namespace

order_world::order_world(order_scenario const& fixed,
                         fault_budget const& budget)
    : m_scenario(&fixed)
    , m_budget(budget)
    , m_now(std::chrono::hours(1))
    , m_published{m_now}
{
    for (std::size_t index = 0; index < host_count; ++index) {
        m_hosts.push_back(make_host(index, 0));
    }
    for (std::size_t index = 0; index < host_count; ++index) {
        adopt(index, 0);
        confirm(index);
    }
}

order_world::host order_world::make_host(std::size_t index, std::size_t list)
{
    fleet::order_settings settings = m_scenario->settings;
    settings.host = name_of(index);
    settings.generation = ++m_generations;
    return {fleet::orderer(settings), list, true, false, std::nullopt};
}

std::vector<step> order_world::steps() const
{
    std::vector<step> out;
    for (std::size_t index = 0; index < m_in_flight.size(); ++index) {
        out.push_back({step_kind::deliver, index});
    }
    if (m_budget.lists > 0 && m_published.size() < list_count) {
        out.push_back({step_kind::publish, 0});
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        host const& one = m_hosts[index];
        if (!one.alive) {
            if (m_budget.restarts > 0) {
                out.push_back({step_kind::restart, index});
            }
            continue;
        }
        if (one.waiting) {
            out.push_back({step_kind::dispatch_runs, index});
        }
        if (m_budget.resends > 0) {
            out.push_back({step_kind::start, index});
        }
        if (one.list + 1 < m_published.size()) {
            out.push_back({step_kind::adopt, index});
        }
        if (one.was_paused) {
            out.push_back({step_kind::confirm, index});
        }
        if (m_budget.crashes > 0) {
            out.push_back({step_kind::crash, index});
        }
    }
    for (std::size_t leap = 0; m_budget.leaps > 0 && leap < 2; ++leap) {
        out.push_back({step_kind::leap, leap});
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_budget.pauses > 0) {
                out.push_back({step_kind::leap, leap, index});
            }
        }
    }
    return out;
}

void order_world::apply(step const& what)
{
    switch (what.kind) {
    case step_kind::deliver:
        deliver_order(what.index);
        break;
    case step_kind::publish:
        --m_budget.lists;
        m_published.push_back(m_now);
        break;
    case step_kind::restart:
        --m_budget.restarts;
        m_hosts[what.index] = make_host(what.index, m_published.size() - 1);
        adopt(what.index, m_published.size() - 1);
        confirm(what.index);
        break;
    case step_kind::dispatch_runs:
        send_order(what.index);
        break;
    case step_kind::start:
        --m_budget.resends;
        handle_event(
            what.index,
            fleet::order_requested{
                {engine_name, "model-of-" + name_of(what.index)}, true});
        break;
    case step_kind::adopt:
        adopt(what.index, m_hosts[what.index].list + 1);
        break;
    case step_kind::crash:
        --m_budget.crashes;
        m_hosts[what.index].alive = false;
        m_hosts[what.index].waiting.reset();
        break;
    case step_kind::leap:
        --m_budget.leaps;
        m_budget.pauses -= what.host == step::no_host ? 0 : 1;
        leap(m_scenario->leaps[what.index], what.host);
        break;
    default:
        confirm(what.index);
        break;
    }
}

std::uint64_t order_world::hash() const
{
    std::string bytes;
    for (auto const& one : m_hosts) {
        fleet::append(bytes,
                      (one.alive ? 4U : 0U) + (one.was_paused ? 2U : 0U)
                          + (one.waiting ? 1U : 0U));
        fleet::append(bytes, one.list);
        fleet::append(bytes,
                      one.waiting ? one.waiting->number.list_revision : 0);
        one.orderer.fingerprint(m_now, bytes);
    }
    for (auto const& one : m_in_flight) {
        fleet::append(bytes, one.order.number.list_revision);
        fleet::append(bytes, one.order.number.generation);
        fleet::append_age(bytes, one.left, m_now);
    }
    for (auto const& when : m_published) {
        fleet::append_age(bytes, when, m_now);
    }
    fleet::append(bytes, m_highest.list_revision);
    fleet::append(bytes, m_highest.generation);
    auto const* budget = reinterpret_cast<char const*>(&m_budget);
    bytes.append(budget, sizeof m_budget);
    return XXH3_64bits(bytes.data(), bytes.size());
}

void order_world::handle_event(std::size_t index,
                               fleet::order_event const& event)
{
    std::vector<fleet::order_decision> out;
    m_hosts[index].orderer.handle(event, m_now, out);
    for (auto const& one : out) {
        if (auto const* send = std::get_if<fleet::order_send>(&one)) {
            m_hosts[index].waiting = send->order;
        }
    }
}

// Each list contains exactly one host, so the hosts alternate as the orderer.
void order_world::adopt(std::size_t index, std::size_t list)
{
    m_hosts[index].list = list;
    handle_event(index,
                 fleet::order_hosts_listed{list + 1, {name_of(list % 2)}});
    handle_event(index,
                 fleet::order_engines_listed{
                     {{engine_name, m_scenario->checks_fencing, {}}}});
}

void order_world::confirm(std::size_t index)
{
    host& one = m_hosts[index];
    bool const newest = one.list + 1 == m_published.size();
    one.was_paused = one.was_paused && !newest;
    handle_event(index,
                 fleet::order_hosts_confirmed{
                     newest ? m_now : m_published[one.list + 1]});
}

void order_world::send_order(std::size_t index)
{
    host& one = m_hosts[index];
    if (one.orderer.may_send(*one.waiting, m_now)) {
        m_in_flight.push_back({*one.waiting, m_now});
        one.waiting.reset();
        return;
    }
    one.waiting.reset();
    handle_event(index,
                 fleet::order_ended{engine_name, fleet::order_end::not_sent});
}

void order_world::deliver_order(std::size_t index)
{
    fleet::order const order = m_in_flight[index].order;
    m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    bool const old = order.number < m_highest;
    bool const taken = !old || !m_scenario->checks_fencing;
    m_violations.stale_orders += old && taken ? 1 : 0;
    m_taken += taken ? 1 : 0;
    m_highest = std::max(m_highest, order.number);
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        auto const end =
            taken ? fleet::order_end::done : fleet::order_end::outdated;
        if (order.model == "model-of-" + name_of(host) && m_hosts[host].alive) {
            handle_event(host, fleet::order_ended{engine_name, end});
        }
    }
}

void order_world::leap(model::milliseconds by, std::size_t paused_host)
{
    auto const until = m_now + by;
    while (m_now < until) {
        m_now = std::min(m_now + m_scenario->tick, until);
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            host const& one = m_hosts[index];
            if (one.alive && !one.was_paused && index != paused_host) {
                confirm(index);
                handle_event(index, fleet::order_tick{});
            }
        }
    }
    if (paused_host != step::no_host) {
        m_hosts[paused_host].was_paused = true;
    }
    // Connections that exceed the delivery timeout of an order are closed.
    std::erase_if(m_in_flight, [&](order_in_flight const& one) {
        return m_now - one.left > m_scenario->settings.delivery_timeout;
    });
}

bool order_world::is_quiescent() const
{
    return m_in_flight.empty();
}

bool order_world::is_stuck() const
{
    order_world copy = *this;
    for (std::size_t index = 0; index < host_count; ++index) {
        copy.m_hosts[index] = copy.make_host(index, 0);
        copy.adopt(index, m_published.size() - 1);
        copy.confirm(index);
    }
    copy.leap(m_scenario->leaps.back(), step::no_host);
    std::size_t const owner = (m_published.size() - 1) % 2;
    copy.m_budget.resends = 1;
    copy.apply({step_kind::start, owner});
    if (!copy.m_hosts[owner].waiting) {
        return true;
    }
    copy.send_order(owner);
    auto const before = copy.m_taken;
    for (bool more = !copy.m_in_flight.empty(); more;
         more = !copy.m_in_flight.empty()) {
        copy.deliver_order(0);
    }
    return copy.m_taken == before;
}

} // namespace caperjunction::claims_explorer
