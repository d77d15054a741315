// Replies of upstreams and other hosts, and their delivery to policy and
// caller.
#include "bench/policy_bench/fleet.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {

upstream_hooks fleet::hooks_of(std::size_t upstream)
{
    upstream_hooks hooks;
    hooks.tokens = [this, upstream](std::uint64_t number, std::uint32_t count) {
        m_network.send(m_upstreams.place_of(upstream),
                       m_hosts[attempt_of(number).host].place,
                       bytes_per_output_token * count,
                       [this, number, count] {
                           handle_tokens(number, count);
                       });
    };
    hooks.ended = [this, upstream](job_result const& result) {
        attempt_of(result.attempt).result = result;
        m_network.send(m_upstreams.place_of(upstream),
                       m_hosts[attempt_of(result.attempt).host].place,
                       message_bytes,
                       [this, number = result.attempt, end = result.end] {
                           handle_end(number, end);
                       });
    };
    hooks.crashed = [this, upstream] {
        handle_crash(upstream);
    };
    return hooks;
}

void fleet::submit_to_upstream(std::uint64_t number,
                               std::uint32_t priority,
                               std::uint32_t resume_offset)
{
    attempt const& made = attempt_of(number);
    send& request = m_sends[made.send];
    if (!m_upstreams.up(made.upstream)) {
        m_network.send(m_upstreams.place_of(made.upstream),
                       m_hosts[made.host].place,
                       message_bytes,
                       [this, number] {
                           handle_end(number, decide::attempt_end::unreachable);
                           attempt const& lost = attempt_of(number);
                           handle_event(lost.host,
                                        decide::engine_lost{
                                            m_upstreams.name(lost.upstream)});
                       });
        return;
    }
    ++request.accepted;
    planned_request const& plan = *request.plan;
    if (made.upstream >= m_upstreams.engine_count()) {
        m_upstreams.service(made.upstream).submit(number, plan.call_length);
        return;
    }
    engine_job job;
    job.attempt = number;
    job.priority = priority;
    job.prompt_tokens = plan.prompt_tokens;
    job.output_tokens = plan.output_tokens;
    job.resume_offset = resume_offset;
    job.prefix_blocks = plan.prefix_blocks;
    job.crashes_engine = plan.killer;
    m_upstreams.engine(made.upstream).submit(job);
}

void fleet::handle_tokens(std::uint64_t number, std::uint32_t tokens)
{
    attempt& from = attempt_of(number);
    send& request = m_sends[from.send];
    if (!from.open || from.abandoned || request.state == send_state::done) {
        return;
    }
    from.relayed += tokens;
    request.relayed += tokens;
    if (from.host == request.entry_host) {
        relay(from.send, tokens);
    } else {
        m_network.send(m_hosts[from.host].place,
                       m_hosts[request.entry_host].place,
                       bytes_per_output_token * tokens,
                       [this, index = from.send, tokens] {
                           relay(index, tokens);
                       });
    }
    handle_event(from.host, decide::tokens_relayed{request.id, tokens});
}

void fleet::relay(std::size_t send_index, std::uint32_t tokens)
{
    send& to = m_sends[send_index];
    if (to.state == send_state::done) {
        return;
    }
    to.last_token = m_queue.now();
    if (!to.has_answer()) {
        to.first_token = m_queue.now();
        m_auditor.first_answer(to, m_queue.now());
    }
    if (m_queue.now() <= m_window_end) {
        to.relayed_in_window += tokens;
        to.relayed_settled += m_queue.now() >= m_settled ? tokens : 0;
    }
}

void fleet::handle_end(std::uint64_t number, decide::attempt_end end)
{
    attempt& ended = attempt_of(number);
    if (!ended.open) {
        return;
    }
    ended.open = false;
    send& request = m_sends[ended.send];
    if (end == decide::attempt_end::refused) {
        --request.accepted;
    }
    if (request.attempt == number) {
        request.attempt = 0;
        if (request.state != send_state::done) {
            if (end == decide::attempt_end::complete) {
                complete(request);
            } else {
                set_waiting(request);
            }
        }
    }
    // A host that closed the connection itself only sees the cancellation.
    bool const cancelled = ended.abandoned;
    handle_event(
        ended.host,
        decide::attempt_ended{request.id,
                              m_upstreams.name(ended.upstream),
                              cancelled ? decide::attempt_end::cancelled : end,
                              request.relayed,
                              ended.result.cached_tokens});
}

void fleet::complete(send& request)
{
    if (request.relayed != request.plan->output_tokens) {
        m_violations.record("truncated_answer",
                            fmt::format("{} of {} tokens",
                                        request.relayed,
                                        request.plan->output_tokens));
    }
    std::size_t const index = index_of(request);
    auto const hand_out = [this, index] {
        send& to = m_sends[index];
        if (to.state != send_state::done) {
            relay(index, 0);
            finish(to, send_end::ran, {});
        }
    };
    if (request.serving_host == request.entry_host) {
        hand_out();
        return;
    }
    request.state = send_state::moving;
    m_network.send(m_hosts[request.serving_host].place,
                   m_hosts[request.entry_host].place,
                   message_bytes,
                   hand_out);
}

void fleet::handle_crash(std::size_t upstream)
{
    std::vector<bool> concerned(m_hosts.size());
    for (attempt const& one : m_attempts) {
        if (one.open && one.upstream == upstream) {
            concerned[one.host] = true;
        }
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (concerned[host]) {
            decide::engine_lost const lost{m_upstreams.name(upstream)};
            m_network.send(m_upstreams.place_of(upstream),
                           m_hosts[host].place,
                           message_bytes,
                           [this, host, lost] {
                               handle_event(host, lost);
                           });
        }
    }
}

void fleet::accept_hand_over(std::size_t send_index, std::size_t host)
{
    send& taken = m_sends[send_index];
    if (taken.state == send_state::done) {
        return;
    }
    taken.serving_host = host;
    set_waiting(taken);
    handle_event(host, decide::request_arrived{describe(taken, true)});
}

void fleet::hand_back(std::size_t send_index)
{
    send& back = m_sends[send_index];
    if (back.state == send_state::done) {
        return;
    }
    std::string const from = m_deployment.hosts[back.serving_host].name;
    back.serving_host = back.entry_host;
    set_waiting(back);
    handle_event(back.entry_host, decide::hand_over_refused{back.id, from});
}

void fleet::cut(bool is_cut)
{
    m_network.cut(is_cut);
    m_auditor.cut(is_cut);
    if (!is_cut) {
        return;
    }
    m_queue.after(silence_timeout, [this] {
        break_cross_region_attempts();
        break_cross_region_hand_overs();
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                if (!m_network.reachable(m_hosts[host].place,
                                         m_hosts[other].place)) {
                    handle_event(
                        host,
                        decide::host_lost{m_deployment.hosts[other].name});
                }
            }
        }
    });
}

void fleet::break_cross_region_attempts()
{
    std::size_t const count = m_attempts.size();
    for (std::uint64_t number = 1; number <= count; ++number) {
        attempt const& one = attempt_of(number);
        if (!one.open || one.unsent
            || m_network.reachable(m_hosts[one.host].place,
                                   m_upstreams.place_of(one.upstream))) {
            continue;
        }
        if (one.upstream < m_upstreams.engine_count()) {
            m_upstreams.engine(one.upstream).cancel(number);
        }
        handle_end(number, decide::attempt_end::broken);
    }
}

// The entry host may serve a request itself whose hand-over was cut off, unless
// part of the answer was relayed or a second run would cause harm.
void fleet::break_cross_region_hand_overs()
{
    std::size_t const count = m_sends.size();
    for (std::size_t index = 0; index < count; ++index) {
        send& one = m_sends[index];
        if (one.state == send_state::done
            || m_network.reachable(m_hosts[one.entry_host].place,
                                   m_hosts[one.serving_host].place)) {
            continue;
        }
        m_hanging_up = true;
        handle_event(one.serving_host, decide::request_cancelled{one.id});
        m_hanging_up = false;
        m_auditor.remove_waiting(one);
        bool const repeatable =
            m_deployment.loads[one.plan->load].service.empty();
        if (one.relayed == 0 && (repeatable || one.accepted == 0)) {
            hand_back(index);
        } else {
            finish(one, send_end::failed, std::chrono::seconds{1});
        }
    }
}

} // namespace caperjunction::bench
