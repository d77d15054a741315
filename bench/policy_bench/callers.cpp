#include "bench/policy_bench/callers.hpp"

#include <algorithm>

namespace caperjunction::bench {

callers::callers(deployment const& deployment,
                 scenario const& scenario,
                 std::vector<planned_request> const& trace,
                 event_queue& queue,
                 fleet& hosts)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_queue(queue)
    , m_fleet(hosts)
    , m_open_callers(trace.size())
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

std::size_t callers::balance(caller const& sender) const
{
    std::size_t const hosts = m_deployment.hosts.size();
    std::size_t const first = sender.plan->balancer % hosts;
    if (sender.sends == 0) {
        return first;
    }
    std::string const& region = m_deployment.hosts[first].region;
    std::uint64_t const pick = sender.plan->balancer / hosts + sender.sends;
    std::vector<std::size_t> near;
    for (std::size_t host = 0; host < hosts; ++host) {
        if (m_deployment.hosts[host].region == region) {
            near.push_back(host);
        }
    }
    return near[pick % near.size()];
}

void callers::send_now(std::size_t index)
{
    caller& sender = m_callers[index];
    if (sender.done) {
        return;
    }
    std::size_t const host = balance(sender);
    ++sender.sends;
    // A refusal may arrive before `add_request` returns; it needs this index.
    sender.send = m_fleet.sends().size();
    m_fleet.add_request(*sender.plan, index, sender.sends, host);
    schedule_give_up(index);
}

void callers::schedule_give_up(std::size_t index)
{
    caller const& sender = m_callers[index];
    std::size_t const send_index = sender.send;
    m_queue.after(
        m_deployment.class_of(sender.plan->load).max_wait * give_up_factor,
        [this, index, send_index] {
            send const& sent = m_fleet.sends()[send_index];
            if (sent.state != send_state::done && !sent.has_answer()) {
                m_fleet.give_up(send_index);
                close(index);
            }
        });
}

void callers::leave(std::size_t index)
{
    caller& sender = m_callers[index];
    if (sender.done) {
        return;
    }
    sender.left = true;
    m_fleet.hang_up(sender.send);
    close(index);
}

void callers::close(std::size_t index)
{
    if (!m_callers[index].done) {
        m_callers[index].done = true;
        --m_open_callers;
    }
}

bool callers::may_resend(caller const& sender, send const& request) const
{
    bool const repeatable =
        m_deployment.loads[sender.plan->load].service.empty();
    bool const failed = request.end == send_end::failed && repeatable;
    if (request.end != send_end::refused && !failed) {
        return false;
    }
    if (sender.plan->killer) {
        return sender.sends < max_killer_sends;
    }
    return sender.sends <= m_scenario.resends;
}

void callers::answered(send const& request, model::milliseconds retry_after)
{
    caller const& sender = m_callers[request.caller];
    if (request.end == send_end::hung_up) {
        return;
    }
    auto const requested_delay =
        std::max(std::chrono::seconds{1},
                 std::chrono::ceil<std::chrono::seconds>(retry_after));
    constexpr double max_jitter = 0.2;
    constexpr std::uint64_t jitter_steps = 1'000;
    double const jitter =
        max_jitter * static_cast<double>(sender.plan->balancer % jitter_steps)
        / static_cast<double>(jitter_steps);
    auto const delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
        requested_delay * (1.0 + jitter));
    bool const too_late =
        m_queue.now() + delay > model::time_point{} + m_scenario.length;
    if (too_late || !may_resend(sender, request)) {
        close(request.caller);
        return;
    }
    m_queue.after(delay, [this, index = request.caller] {
        send_now(index);
    });
}

} // namespace caperjunction::bench
