// Executes the decisions of the hosts' policies as a production host would.
#include "bench/policy_bench/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace caperjunction::bench {

void fleet::apply(std::size_t host, decide::decision const& decision)
{
    if (auto const* dispatch = std::get_if<decide::dispatch>(&decision)) {
        apply(host, *dispatch);
    } else if (auto const* refuse = std::get_if<decide::refuse>(&decision)) {
        apply(host, *refuse);
    } else if (auto const* cancel =
                   std::get_if<decide::cancel_attempt>(&decision)) {
        apply(host, *cancel);
    } else if (auto const* move = std::get_if<decide::hand_over>(&decision)) {
        apply(host, *move);
    }
    // Other decisions have no external effect: policies handle ejected engines
    // and quarantined requests internally, each engine has the only model of
    // its deployment, and `queued` is only logged.
}

send* fleet::find_send(std::size_t host, model::request_id id)
{
    std::uint64_t const index = (id.value & 0xffffffffULL) - 1;
    bool const known = index < m_sends.size() && m_sends[index].id == id;
    if (!known || m_sends[index].serving_host != host) {
        m_violations.record(
            "decision_for_another_hosts_request",
            fmt::format("{} at {}", id.value, m_deployment.hosts[host].name));
        return nullptr;
    }
    return &m_sends[index];
}

bool fleet::may_dispatch(std::size_t host,
                         send const* request,
                         decide::dispatch const& decided)
{
    if (request == nullptr) {
        return false;
    }
    std::string const description = fmt::format("{} at {} to {}",
                                                decided.id.value,
                                                m_deployment.hosts[host].name,
                                                decided.upstream);
    if (m_upstreams.find(decided.upstream) == upstream_set::none) {
        m_violations.record("dispatched_to_nowhere", description);
        return false;
    }
    if (request->state != send_state::waiting) {
        m_violations.record(request->state == send_state::done
                                ? "dispatched_after_final_answer"
                                : "two_attempts_at_once",
                            description);
        return false;
    }
    bool const repeatable =
        m_deployment.loads[request->plan->load].service.empty();
    if (!repeatable && request->accepted > 0) {
        m_violations.record("second_run", description);
    }
    if (decided.resume_offset != request->relayed) {
        m_violations.record("truncated_answer",
                            fmt::format("{}: resumed at {}, but {} relayed",
                                        description,
                                        decided.resume_offset,
                                        request->relayed));
    }
    return true;
}

void fleet::apply(std::size_t host, decide::dispatch const& decided)
{
    send* const request = find_send(host, decided.id);
    if (!may_dispatch(host, request, decided)) {
        return;
    }
    attempt made;
    made.send = index_of(*request);
    made.host = host;
    made.upstream = m_upstreams.find(decided.upstream);
    m_attempts.push_back(made);
    std::uint64_t const number = m_attempts.size();
    request->attempt = number;
    ++request->attempts;
    request->state = send_state::running;
    m_auditor.dispatched(*request, m_queue.now());
    m_auditor.remove_waiting(*request);
    bool const sent =
        m_network.send(m_hosts[host].place,
                       m_upstreams.place_of(made.upstream),
                       request_bytes(*request),
                       [this,
                        number,
                        priority = decided.priority,
                        offset = decided.resume_offset] {
                           submit_to_upstream(number, priority, offset);
                       });
    if (!sent) {
        m_attempts.back().unsent = true;
        m_queue.after(connect_timeout, [this, number] {
            handle_end(number, decide::attempt_end::unreachable);
        });
    }
}

void fleet::check_refusal(send const& request, decide::refuse const& decided)
{
    std::string const description =
        fmt::format("{} of {}: {}",
                    m_deployment.loads[request.plan->load].service_class,
                    m_deployment.hosts[request.serving_host].name,
                    decided.reason);
    if (decided.outcome == model::outcome::not_run && request.accepted > 0) {
        m_violations.record("not_run_though_it_ran", description);
    }
    if (request.relayed > 0 && !request.plan->killer) {
        m_violations.record("truncated_answer", description);
    }
    if (decided.remedy.empty()) {
        m_violations.record("refusal_without_remedy", description);
    }
}

void fleet::apply(std::size_t host, decide::refuse const& decided)
{
    send* const request = find_send(host, decided.id);
    if (request == nullptr || request->end == send_end::hung_up) {
        return;
    }
    if (request->state == send_state::done) {
        m_violations.record("second_final_answer", decided.reason);
        return;
    }
    check_refusal(*request, decided);
    bool const not_run = decided.outcome == model::outcome::not_run;
    std::size_t const index = index_of(*request);
    if (request->attempt != 0) {
        attempt_of(request->attempt).abandoned = true;
    }
    if (host != request->entry_host && not_run) {
        // The entry host still has the request and may dispatch it elsewhere.
        m_auditor.remove_waiting(*request);
        request->state = send_state::moving;
        m_network.send(m_hosts[host].place,
                       m_hosts[request->entry_host].place,
                       message_bytes,
                       [this, index] {
                           hand_back(index);
                       });
        return;
    }
    m_auditor.refused(*request, decided, m_queue.now());
    finish(*request,
           not_run ? send_end::refused : send_end::failed,
           decided.retry_after);
}

void fleet::apply(std::size_t host, decide::cancel_attempt const& decided)
{
    send* const request = find_send(host, decided.id);
    if (request == nullptr || request->attempt == 0) {
        return;
    }
    std::uint64_t const number = request->attempt;
    attempt& ended = attempt_of(number);
    ended.abandoned = true;
    if (request->state != send_state::done) {
        set_waiting(*request);
    }
    bool const is_engine = ended.upstream < m_upstreams.engine_count();
    bool const sent = m_network.send(
        m_hosts[host].place,
        m_upstreams.place_of(ended.upstream),
        message_bytes,
        [this, number, is_engine] {
            if (is_engine) {
                m_upstreams.engine(attempt_of(number).upstream).cancel(number);
            } else {
                handle_end(number, decide::attempt_end::cancelled);
            }
        });
    if (!sent) {
        m_queue.after(connect_timeout, [this, number] {
            handle_end(number, decide::attempt_end::cancelled);
        });
    }
}

void fleet::apply(std::size_t host, decide::hand_over const& decided)
{
    send* const request = find_send(host, decided.id);
    auto const target = std::find_if(m_deployment.hosts.begin(),
                                     m_deployment.hosts.end(),
                                     [&](auto const& one) {
                                         return one.name == decided.host;
                                     });
    if (request == nullptr || request->state != send_state::waiting
        || request->entry_host != host || target == m_deployment.hosts.end()) {
        m_violations.record("hand_over_out_of_place", decided.reason);
        return;
    }
    std::size_t const index = index_of(*request);
    auto const to =
        static_cast<std::size_t>(target - m_deployment.hosts.begin());
    m_auditor.remove_waiting(*request);
    request->state = send_state::moving;
    bool const sent = m_network.send(m_hosts[host].place,
                                     m_hosts[to].place,
                                     request_bytes(*request),
                                     [this, index, to] {
                                         accept_hand_over(index, to);
                                     });
    if (!sent) {
        m_queue.after(connect_timeout, [this, index] {
            hand_back(index);
        });
    }
}

} // namespace caperjunction::bench
