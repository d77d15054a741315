#include "bench/policy_bench/auditor.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {

auditor::auditor(deployment const& deployment, violation_list& into)
    : m_deployment(deployment)
    , m_violations(into)
    , m_ledger(deployment)
    , m_late_counts(deployment.loads.size())
{
}

auditor::queue_key auditor::key_of(send const& request)
{
    return {request.serving_host, {request.plan->load, request.plan->team}};
}

std::uint32_t auditor::rank(std::size_t load) const
{
    return m_deployment.tier_of(load).rank;
}

bool auditor::same_upstreams(std::size_t left, std::size_t right) const
{
    class_load const& first = m_deployment.loads[left];
    class_load const& second = m_deployment.loads[right];
    return first.model == second.model && first.service == second.service;
}

bool auditor::displaces(std::size_t higher, std::size_t lower) const
{
    return rank(higher) < rank(lower) && same_upstreams(higher, lower)
           && m_ledger.above_share(lower);
}

bool auditor::could_reach(std::size_t from, std::size_t to) const
{
    return !m_cut
           || m_deployment.hosts[from].region == m_deployment.hosts[to].region;
}

void auditor::cut(bool is_cut)
{
    m_cut = is_cut;
}

void auditor::add_waiting(send const& request, model::time_point now)
{
    m_queues[key_of(request)][request.id.value] = {&request, now, {}};
}

void auditor::remove_waiting(send const& request)
{
    m_queues[key_of(request)].erase(request.id.value);
}

void auditor::dispatched(send const& request, model::time_point now)
{
    if (request.attempts == 1) {
        for (auto& [id, other] : m_queues[key_of(request)]) {
            bool const earlier = other.request->at < request.at;
            if (earlier && other.passed_over == model::time_point{}) {
                other.passed_over = now;
            }
        }
        m_ledger.dispatched(*request.plan, now);
        recent_event const own{now, request.serving_host, request.plan->load};
        check_recent(m_refusals, own, false);
        m_dispatches.push_back(own);
    }
}

void auditor::refused(send const& request,
                      decide::refuse const& how,
                      model::time_point now)
{
    if (how.outcome == model::outcome::not_run
        && how.retry_after.count() <= 0) {
        record("refusal_without_retry_after", request, now);
    }
    // A quarantined request is refused for its effect on engines, not for its
    // rank; a request that has run in part is not shed but has failed.
    if (how.kind == model::error_kind::quarantined || request.attempts > 0) {
        return;
    }
    check_wait(request, now);
    check_delayed_refusal(request, now);
    check_queues(request, now);
    recent_event const own{now, request.serving_host, request.plan->load};
    check_recent(m_dispatches, own, true);
    m_refusals.push_back(own);
}

void auditor::preempted(send const& request, model::time_point now)
{
    recent_event const own{now, request.serving_host, request.plan->load};
    check_queues(request, now);
    m_refusals.push_back(own);
}

void auditor::first_answer(send const& request, model::time_point now)
{
    check_wait(request, now);
}

void auditor::check_queues(send const& request, model::time_point now)
{
    for (auto const& [key, queue] : m_queues) {
        if (!displaces(request.plan->load, key.second.first)
            || !could_reach(request.serving_host, key.first)) {
            continue;
        }
        for (auto const& [id, lower] : queue) {
            if (now - lower.since >= digest_tolerance) {
                record("higher_tier_refused_while_lower_queued", request, now);
                return;
            }
        }
    }
}

void auditor::check_recent(std::deque<recent_event>& others,
                           recent_event const& own,
                           bool own_is_higher)
{
    while (!others.empty() && others.front().at + place_tolerance < own.at) {
        others.pop_front();
    }
    for (recent_event const& other : others) {
        std::size_t const higher = own_is_higher ? own.load : other.load;
        std::size_t const lower = own_is_higher ? other.load : own.load;
        if (other.host == own.host && displaces(higher, lower)) {
            m_violations.record(
                "lower_tier_admitted_in_place_of_higher",
                fmt::format("{} at {}",
                            m_deployment.loads[higher].service_class,
                            m_deployment.hosts[own.host].name));
            return;
        }
    }
}

void auditor::check_delayed_refusal(send const& request, model::time_point now)
{
    lists::service_class const& own = m_deployment.class_of(request.plan->load);
    late_counts& counts = m_late_counts[request.plan->load];
    ++counts.refusals;
    if (now - request.at > own.max_wait / 2) {
        ++counts.late;
    }
    send_queue& queue = m_queues[key_of(request)];
    auto const found = queue.find(request.id.value);
    if (found == queue.end()) {
        return;
    }
    model::time_point const passed = found->second.passed_over;
    if (passed != model::time_point{} && now - passed > pass_over_tolerance) {
        record("refusal_held_back_after_passing_over", request, now);
    }
}

void auditor::check_wait(send const& request, model::time_point now)
{
    auto const bound =
        m_deployment.class_of(request.plan->load).max_wait + wait_tolerance;
    if (now - request.at > bound) {
        record("waited_longer_than_stated", request, now);
    }
}

void auditor::record(char const* kind,
                     send const& request,
                     model::time_point now)
{
    m_violations.record(
        kind,
        fmt::format("{} of {} at {:.3f} s after {:.3f} s",
                    m_deployment.loads[request.plan->load].service_class,
                    m_deployment.hosts[request.serving_host].name,
                    model::seconds(now - model::time_point{}).count(),
                    model::seconds(now - request.at).count()));
}

void auditor::finish()
{
    for (std::size_t load = 0; load < m_late_counts.size(); ++load) {
        late_counts const& counts = m_late_counts[load];
        if (counts.late >= min_late_refusals
            && counts.late > max_late_share * counts.refusals) {
            m_violations.record(
                "refusals_held_back_towards_their_deadline",
                fmt::format("{}: {} of {}",
                            m_deployment.loads[load].service_class,
                            counts.late,
                            counts.refusals));
        }
    }
}

} // namespace caperjunction::bench
