#include "bench/policy_bench/fleet.hpp"

#include <utility>

namespace caperjunction::bench {

fleet::fleet(deployment const& where,
             std::uint64_t seed,
             policy_maker const& make,
             event_queue& queue,
             network& net,
             auditor& watch,
             violation_list& violations)
    : m_where(where)
    , m_queue(queue)
    , m_network(net)
    , m_auditor(watch)
    , m_violations(violations)
    , m_upstreams(where, queue, [this](std::size_t upstream) {
        return hooks_of(upstream);
    })
{
    constexpr std::uint64_t seeds_apart = 1'000;
    for (model::host const& host : where.hosts) {
        decide::router_settings settings;
        settings.host = host.name;
        settings.region = host.region;
        settings.data_centre = host.data_centre;
        settings.seed = seed * seeds_apart + m_hosts.size();
        m_hosts.push_back(
            {make(settings), where.place_of(host.region, host.data_centre)});
    }
}

void fleet::start(answer_hook answered,
                  model::time_point settled,
                  model::time_point window_end,
                  std::chrono::milliseconds digest_period)
{
    m_answered = std::move(answered);
    m_settled = settled;
    m_digest_period = digest_period;
    m_window_end = window_end;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        tell(host, decide::lists_changed{m_where.catalogue});
        tell(host, decide::upstreams_changed{m_where.upstreams});
        // Hosts don't keep step with each other.
        auto const offset = std::chrono::milliseconds{2} * host;
        m_queue.after(offset, [this, host] {
            tick(host);
        });
        m_queue.after(digest_period / m_hosts.size() * host, [this, host] {
            spread_digest(host);
        });
    }
}

void fleet::stop()
{
    m_stopped = true;
}

void fleet::tick(std::size_t host)
{
    if (m_stopped) {
        return;
    }
    tell(host, decide::tick{});
    m_queue.after(decide::router::tick_period, [this, host] {
        tick(host);
    });
}

void fleet::spread_digest(std::size_t host)
{
    if (m_stopped) {
        return;
    }
    constexpr std::uint64_t frame_bytes = 60;
    auto const bytes = m_hosts[host].policy.digest(m_queue.now());
    for (std::size_t to = 0; to < m_hosts.size() && !bytes.empty(); ++to) {
        if (to == host) {
            continue;
        }
        decide::digest_received const heard{m_where.hosts[host].name, bytes};
        m_network.send(m_hosts[host].place,
                       m_hosts[to].place,
                       bytes.size() + frame_bytes,
                       [this, to, heard] {
                           tell(to, heard);
                       });
    }
    m_queue.after(m_digest_period, [this, host] {
        spread_digest(host);
    });
}

void fleet::tell(std::size_t host, decide::event const& event)
{
    std::vector<decide::decision> decisions;
    m_hosts[host].policy.handle(event, m_queue.now(), decisions);
    for (decide::decision const& one : decisions) {
        apply(host, one);
    }
    if (m_hanging_up) {
        return;
    }
    for (decide::decision const& one : decisions) {
        auto const* const cancelled = std::get_if<decide::cancel_attempt>(&one);
        if (cancelled == nullptr) {
            continue;
        }
        // One that was moved to another upstream at once is not preempted.
        send* const which = held(host, cancelled->id);
        if (which != nullptr && which->state == send_state::waiting) {
            m_auditor.preempted(*which, m_queue.now());
        }
    }
}

std::size_t fleet::arrive(planned_request const& plan,
                          std::size_t caller,
                          std::uint32_t number,
                          std::size_t host)
{
    send made;
    made.id.value = (static_cast<std::uint64_t>(host) + 1) << 32U;
    made.id.value += m_sends.size() + 1;
    made.plan = &plan;
    made.caller = caller;
    made.number = number;
    made.at = m_queue.now();
    made.entry_host = host;
    made.serving_host = host;
    m_sends.push_back(made);
    put_in_wait(m_sends.back());
    tell(host, decide::request_arrived{describe(m_sends.back(), false)});
    return m_sends.size() - 1;
}

decide::request fleet::describe(send const& which, bool handed_over) const
{
    planned_request const& plan = *which.plan;
    class_load const& load = m_where.loads[plan.load];
    lists::customer const& customer =
        m_where.catalogue->plans().customers.front();
    decide::request made;
    made.id = which.id;
    made.customer = customer.name;
    made.team = customer.teams[plan.team].name;
    made.plan = load.plan;
    made.service_class = load.service_class;
    made.model = load.model;
    made.service = load.service;
    made.prompt_tokens = plan.prompt_tokens;
    made.prefix_blocks = plan.prefix_blocks;
    made.fingerprint = plan.fingerprint;
    made.repeatable = load.service.empty();
    made.handed_over = handed_over;
    made.arrived = which.at;
    return made;
}

void fleet::hang_up(std::size_t which)
{
    send& gone = m_sends[which];
    if (gone.state == send_state::done) {
        return;
    }
    finish(gone, send_end::hung_up, {});
    m_hanging_up = true;
    tell(gone.entry_host, decide::request_cancelled{gone.id});
    if (gone.serving_host != gone.entry_host) {
        tell(gone.serving_host, decide::request_cancelled{gone.id});
    }
    m_hanging_up = false;
}

void fleet::give_up(std::size_t which)
{
    send const& gone = m_sends[which];
    m_violations.note("no_answer_in_time",
                      m_where.loads[gone.plan->load].service_class);
    hang_up(which);
}

void fleet::put_in_wait(send& which)
{
    which.state = send_state::waiting;
    which.attempt = 0;
    m_auditor.waits(which, m_queue.now());
}

void fleet::finish(send& which, send_end end, model::milliseconds retry_after)
{
    m_auditor.waits_no_more(which);
    which.state = send_state::done;
    which.end = end;
    which.ended = m_queue.now();
    m_answered(which, retry_after);
}

std::uint64_t fleet::request_bytes(send const& which) const
{
    return message_bytes + which.plan->prompt_tokens * bytes_per_prompt_token
           + which.relayed * bytes_per_prompt_token;
}

} // namespace caperjunction::bench
