#include "bench/policy_bench/callers.hpp"

#include <algorithm>

namespace caperjunction::bench {

callers::callers(deployment const& where,
                 scenario const& what,
                 std::vector<planned_request> const& trace,
                 event_queue& queue,
                 fleet& hosts)
    : m_where(where)
    , m_what(what)
    , m_queue(queue)
    , m_fleet(hosts)
    , m_left(trace.size())
{
    for (planned_request const& plan : trace) {
        caller made;
        made.plan = &plan;
        m_callers.push_back(made);
    }
}

void callers::start()
{
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        planned_request const& plan = *m_callers[index].plan;
        m_queue.at(plan.when, [this, index] {
            send_now(index);
        });
        if (plan.hangs_up_after != std::chrono::nanoseconds::max()) {
            m_queue.at(plan.when + plan.hangs_up_after, [this, index] {
                leave(index);
            });
        }
    }
}

std::size_t callers::balance(caller const& who) const
{
    std::size_t const hosts = m_where.hosts.size();
    std::size_t const first = who.plan->balancer % hosts;
    if (who.sends == 0) {
        return first;
    }
    std::string const& region = m_where.hosts[first].region;
    std::uint64_t const pick = who.plan->balancer / hosts + who.sends;
    std::vector<std::size_t> near;
    for (std::size_t host = 0; host < hosts; ++host) {
        if (m_where.hosts[host].region == region) {
            near.push_back(host);
        }
    }
    return near[pick % near.size()];
}

void callers::send_now(std::size_t index)
{
    caller& who = m_callers[index];
    if (who.done) {
        return;
    }
    std::size_t const host = balance(who);
    ++who.sends;
    // A refusal may come before `arrive` returns and look for this.
    who.send = m_fleet.sends().size();
    m_fleet.arrive(*who.plan, index, who.sends, host);
    watch_patience(index);
}

void callers::watch_patience(std::size_t index)
{
    caller const& who = m_callers[index];
    std::size_t const which = who.send;
    m_queue.after(m_where.class_of(who.plan->load).max_wait * patience,
                  [this, index, which] {
                      send const& sent = m_fleet.sends()[which];
                      if (sent.state != send_state::done
                          && !sent.has_answer()) {
                          m_fleet.give_up(which);
                          close(index);
                      }
                  });
}

void callers::leave(std::size_t index)
{
    caller& who = m_callers[index];
    if (who.done) {
        return;
    }
    who.left = true;
    m_fleet.hang_up(who.send);
    close(index);
}

void callers::close(std::size_t index)
{
    if (!m_callers[index].done) {
        m_callers[index].done = true;
        --m_left;
    }
}

bool callers::comes_back(caller const& who, send const& which) const
{
    bool const repeatable = m_where.loads[who.plan->load].service.empty();
    bool const failed = which.end == send_end::failed && repeatable;
    if (which.end != send_end::refused && !failed) {
        return false;
    }
    if (who.plan->killer) {
        return who.sends < killer_sends;
    }
    return who.sends <= m_what.resends;
}

void callers::answered(send const& which, model::milliseconds retry_after)
{
    caller const& who = m_callers[which.caller];
    if (which.end == send_end::hung_up) {
        return;
    }
    auto const told =
        std::max(std::chrono::seconds{1},
                 std::chrono::ceil<std::chrono::seconds>(retry_after));
    constexpr double most_late = 0.2;
    constexpr std::uint64_t grain = 1'000;
    double const late = most_late
                        * static_cast<double>(who.plan->balancer % grain)
                        / static_cast<double>(grain);
    auto const delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
        told * (1.0 + late));
    bool const too_late =
        m_queue.now() + delay > model::time_point{} + m_what.length;
    if (too_late || !comes_back(who, which)) {
        close(which.caller);
        return;
    }
    m_queue.after(delay, [this, index = which.caller] {
        send_now(index);
    });
}

} // namespace caperjunction::bench
