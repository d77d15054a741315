#include "bench/policy_bench/fleet.hpp"

#include <utility>

namespace caperjunction::bench {

fleet::fleet(deployment const& deployment,
             std::uint64_t seed,
             policy_maker const& make,
             event_queue& queue,
             network& net,
             auditor& watch,
             violation_list& violations)
    : m_deployment(deployment)
    , m_queue(queue)
    , m_network(net)
    , m_auditor(watch)
    , m_violations(violations)
    , m_upstreams(deployment, queue, [this](std::size_t upstream) {
        return hooks_of(upstream);
    })
{
    constexpr std::uint64_t seeds_apart = 1'000;
    for (model::host const& host : deployment.hosts) {
        decide::router_settings settings;
        settings.host = host.name;
        settings.region = host.region;
        settings.data_centre = host.data_centre;
        settings.seed = seed * seeds_apart + m_hosts.size();
        m_hosts.push_back({make(settings),
                           deployment.place_of(host.region, host.data_centre)});
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
        handle_event(host, decide::lists_changed{m_deployment.catalogue});
        handle_event(host, decide::upstreams_changed{m_deployment.upstreams});
        // Hosts do not tick in lockstep.
        auto const offset = std::chrono::milliseconds{2} * host;
        m_queue.after(offset, [this, host] {
            tick(host);
        });
        m_queue.after(digest_period / m_hosts.size() * host, [this, host] {
            broadcast_digest(host);
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
    handle_event(host, decide::tick{});
    m_queue.after(decide::router::tick_period, [this, host] {
        tick(host);
    });
}

void fleet::broadcast_digest(std::size_t host)
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
        decide::digest_received const received{m_deployment.hosts[host].name,
                                               bytes};
        m_network.send(m_hosts[host].place,
                       m_hosts[to].place,
                       bytes.size() + frame_bytes,
                       [this, to, received] {
                           handle_event(to, received);
                       });
    }
    m_queue.after(m_digest_period, [this, host] {
        broadcast_digest(host);
    });
}

void fleet::handle_event(std::size_t host, decide::event const& event)
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
        // A send that was dispatched to another upstream at once is not
        // preempted.
        send* const request = find_send(host, cancelled->id);
        if (request != nullptr && request->state == send_state::waiting) {
            m_auditor.preempted(*request, m_queue.now());
        }
    }
}

std::size_t fleet::add_request(planned_request const& plan,
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
    set_waiting(m_sends.back());
    handle_event(host,
                 decide::request_arrived{describe(m_sends.back(), false)});
    return m_sends.size() - 1;
}

decide::request fleet::describe(send const& request, bool handed_over) const
{
    planned_request const& plan = *request.plan;
    class_load const& load = m_deployment.loads[plan.load];
    lists::customer const& customer =
        m_deployment.catalogue->plans().customers.front();
    decide::request made;
    made.id = request.id;
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
    made.arrived = request.at;
    return made;
}

void fleet::hang_up(std::size_t send_index)
{
    send& gone = m_sends[send_index];
    if (gone.state == send_state::done) {
        return;
    }
    finish(gone, send_end::hung_up, {});
    m_hanging_up = true;
    handle_event(gone.entry_host, decide::request_cancelled{gone.id});
    if (gone.serving_host != gone.entry_host) {
        handle_event(gone.serving_host, decide::request_cancelled{gone.id});
    }
    m_hanging_up = false;
}

void fleet::give_up(std::size_t send_index)
{
    send const& gone = m_sends[send_index];
    m_violations.record("no_answer_in_time",
                        m_deployment.loads[gone.plan->load].service_class);
    hang_up(send_index);
}

void fleet::set_waiting(send& request)
{
    request.state = send_state::waiting;
    request.attempt = 0;
    m_auditor.add_waiting(request, m_queue.now());
}

void fleet::finish(send& request, send_end end, model::milliseconds retry_after)
{
    m_auditor.remove_waiting(request);
    request.state = send_state::done;
    request.end = end;
    request.ended = m_queue.now();
    m_answered(request, retry_after);
}

std::uint64_t fleet::request_bytes(send const& request) const
{
    return message_bytes + request.plan->prompt_tokens * bytes_per_prompt_token
           + request.relayed * bytes_per_prompt_token;
}

} // namespace caperjunction::bench
