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
                         send const* which,
                         decide::dispatch const& decided)
{
    if (which == nullptr) {
        return false;
    }
    std::string const what = fmt::format("{} at {} to {}",
                                         decided.id.value,
                                         m_deployment.hosts[host].name,
                                         decided.upstream);
    if (m_upstreams.find(decided.upstream) == upstream_set::none) {
        m_violations.record("dispatched_to_nowhere", what);
        return false;
    }
    if (which->state != send_state::waiting) {
        m_violations.record(which->state == send_state::done
                                ? "dispatched_after_final_answer"
                                : "two_attempts_at_once",
                            what);
        return false;
    }
    bool const repeatable =
        m_deployment.loads[which->plan->load].service.empty();
    if (!repeatable && which->accepted > 0) {
        m_violations.record("second_run", what);
    }
    if (decided.resume_offset != which->relayed) {
        m_violations.record("truncated_answer",
                            fmt::format("{}: resumed at {}, but {} relayed",
                                        what,
                                        decided.resume_offset,
                                        which->relayed));
    }
    return true;
}

void fleet::apply(std::size_t host, decide::dispatch const& decided)
{
    send* const which = find_send(host, decided.id);
    if (!may_dispatch(host, which, decided)) {
        return;
    }
    attempt made;
    made.send = index_of(*which);
    made.host = host;
    made.upstream = m_upstreams.find(decided.upstream);
    m_attempts.push_back(made);
    std::uint64_t const number = m_attempts.size();
    which->attempt = number;
    ++which->attempts;
    which->state = send_state::running;
    m_auditor.dispatched(*which, m_queue.now());
    m_auditor.remove_waiting(*which);
    bool const sent =
        m_network.send(m_hosts[host].place,
                       m_upstreams.where(made.upstream),
                       request_bytes(*which),
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

void fleet::check_refusal(send const& which, decide::refuse const& decided)
{
    std::string const what =
        fmt::format("{} of {}: {}",
                    m_deployment.loads[which.plan->load].service_class,
                    m_deployment.hosts[which.serving_host].name,
                    decided.reason);
    if (decided.outcome == model::outcome::not_run && which.accepted > 0) {
        m_violations.record("not_run_though_it_ran", what);
    }
    if (which.relayed > 0 && !which.plan->killer) {
        m_violations.record("truncated_answer", what);
    }
    if (decided.remedy.empty()) {
        m_violations.record("refusal_without_remedy", what);
    }
}

void fleet::apply(std::size_t host, decide::refuse const& decided)
{
    send* const which = find_send(host, decided.id);
    if (which == nullptr || which->end == send_end::hung_up) {
        return;
    }
    if (which->state == send_state::done) {
        m_violations.record("second_final_answer", decided.reason);
        return;
    }
    check_refusal(*which, decided);
    bool const not_run = decided.outcome == model::outcome::not_run;
    std::size_t const index = index_of(*which);
    if (which->attempt != 0) {
        attempt_of(which->attempt).abandoned = true;
    }
    if (host != which->entry_host && not_run) {
        // The entry host still has the request and may dispatch it elsewhere.
        m_auditor.remove_waiting(*which);
        which->state = send_state::moving;
        m_network.send(m_hosts[host].place,
                       m_hosts[which->entry_host].place,
                       message_bytes,
                       [this, index] {
                           hand_back(index);
                       });
        return;
    }
    m_auditor.refused(*which, decided, m_queue.now());
    finish(*which,
           not_run ? send_end::refused : send_end::failed,
           decided.retry_after);
}

void fleet::apply(std::size_t host, decide::cancel_attempt const& decided)
{
    send* const which = find_send(host, decided.id);
    if (which == nullptr || which->attempt == 0) {
        return;
    }
    std::uint64_t const number = which->attempt;
    attempt& ended = attempt_of(number);
    ended.abandoned = true;
    if (which->state != send_state::done) {
        set_waiting(*which);
    }
    bool const is_engine = ended.upstream < m_upstreams.engine_count();
    bool const sent = m_network.send(
        m_hosts[host].place,
        m_upstreams.where(ended.upstream),
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
    send* const which = find_send(host, decided.id);
    auto const target = std::find_if(m_deployment.hosts.begin(),
                                     m_deployment.hosts.end(),
                                     [&](auto const& one) {
                                         return one.name == decided.host;
                                     });
    if (which == nullptr || which->state != send_state::waiting
        || which->entry_host != host || target == m_deployment.hosts.end()) {
        m_violations.record("hand_over_out_of_place", decided.reason);
        return;
    }
    std::size_t const index = index_of(*which);
    auto const to =
        static_cast<std::size_t>(target - m_deployment.hosts.begin());
    m_auditor.remove_waiting(*which);
    which->state = send_state::moving;
    bool const sent = m_network.send(m_hosts[host].place,
                                     m_hosts[to].place,
                                     request_bytes(*which),
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
