#include "bench/claims_explorer/order_world.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace caperjunction::claims_explorer {

namespace {

constexpr auto the_engine = "engine";

std::string name_of(std::size_t host)
{
    return "host-" + std::to_string(host);
}

} // namespace

order_world::order_world(order_scenario const& fixed,
                         fault_budget const& budget)
    : m_fixed(&fixed)
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
    fleet::order_settings settings = m_fixed->settings;
    settings.host = name_of(index);
    settings.generation = ++m_generations;
    return {fleet::orderer(settings), list, true, false, std::nullopt};
}

std::vector<step> order_world::steps() const
{
    std::vector<step> out;
    for (std::size_t index = 0; index < m_flights.size(); ++index) {
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
        if (one.slept) {
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
        arrive(what.index);
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
        depart(what.index);
        break;
    case step_kind::start:
        --m_budget.resends;
        tell(what.index,
             fleet::order_requested{
                 {the_engine, "model-of-" + name_of(what.index)}, true});
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
        leap(m_fixed->leaps[what.index], what.host);
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
                      (one.alive ? 4U : 0U) + (one.slept ? 2U : 0U)
                          + (one.waiting ? 1U : 0U));
        fleet::append(bytes, one.list);
        fleet::append(bytes,
                      one.waiting ? one.waiting->number.list_revision : 0);
        one.orderer.fingerprint(m_now, bytes);
    }
    for (auto const& one : m_flights) {
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

void order_world::tell(std::size_t index, fleet::order_event const& event)
{
    std::vector<fleet::order_decision> out;
    m_hosts[index].orderer.handle(event, m_now, out);
    for (auto const& one : out) {
        if (auto const* send = std::get_if<fleet::order_send>(&one)) {
            m_hosts[index].waiting = send->order;
        }
    }
}

// The hosts take turns: each list names the other one alone.
void order_world::adopt(std::size_t index, std::size_t list)
{
    m_hosts[index].list = list;
    tell(index, fleet::order_hosts_listed{list + 1, {name_of(list % 2)}});
    tell(index,
         fleet::order_engines_listed{
             {{the_engine, m_fixed->checks_fencing, {}}}});
}

void order_world::confirm(std::size_t index)
{
    host& one = m_hosts[index];
    bool const newest = one.list + 1 == m_published.size();
    one.slept = one.slept && !newest;
    tell(index,
         fleet::order_hosts_confirmed{newest ? m_now
                                             : m_published[one.list + 1]});
}

void order_world::depart(std::size_t index)
{
    host& one = m_hosts[index];
    if (one.orderer.may_send(*one.waiting, m_now)) {
        m_flights.push_back({*one.waiting, m_now});
        one.waiting.reset();
        return;
    }
    one.waiting.reset();
    tell(index, fleet::order_ended{the_engine, fleet::order_end::not_sent});
}

void order_world::arrive(std::size_t index)
{
    fleet::order const order = m_flights[index].order;
    m_flights.erase(m_flights.begin() + static_cast<std::ptrdiff_t>(index));
    bool const old = order.number < m_highest;
    bool const taken = !old || !m_fixed->checks_fencing;
    m_found.stale_orders += old && taken ? 1 : 0;
    m_taken += taken ? 1 : 0;
    m_highest = std::max(m_highest, order.number);
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        auto const end =
            taken ? fleet::order_end::done : fleet::order_end::outdated;
        if (order.model == "model-of-" + name_of(host) && m_hosts[host].alive) {
            tell(host, fleet::order_ended{the_engine, end});
        }
    }
}

void order_world::leap(model::milliseconds by, std::size_t sleeper)
{
    auto const until = m_now + by;
    while (m_now < until) {
        m_now = std::min(m_now + m_fixed->tick, until);
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            host const& one = m_hosts[index];
            if (one.alive && !one.slept && index != sleeper) {
                confirm(index);
                tell(index, fleet::order_tick{});
            }
        }
    }
    if (sleeper != step::no_host) {
        m_hosts[sleeper].slept = true;
    }
    // Connections that took longer than an order may are closed.
    std::erase_if(m_flights, [&](flight const& one) {
        return m_now - one.left > m_fixed->settings.delivery_timeout;
    });
}

bool order_world::quiet() const
{
    return m_flights.empty();
}

bool order_world::stuck() const
{
    order_world copy = *this;
    for (std::size_t index = 0; index < host_count; ++index) {
        copy.m_hosts[index] = copy.make_host(index, 0);
        copy.adopt(index, m_published.size() - 1);
        copy.confirm(index);
    }
    copy.leap(m_fixed->leaps.back(), step::no_host);
    std::size_t const owner = (m_published.size() - 1) % 2;
    copy.m_budget.resends = 1;
    copy.apply({step_kind::start, owner});
    if (!copy.m_hosts[owner].waiting) {
        return true;
    }
    copy.depart(owner);
    auto const before = copy.m_taken;
    for (bool more = !copy.m_flights.empty(); more;
         more = !copy.m_flights.empty()) {
        copy.arrive(0);
    }
    return copy.m_taken == before;
}

} // namespace caperjunction::claims_explorer
