#include "bench/policy_bench/auditor.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {

auditor::auditor(deployment const& where, violation_list& into)
    : m_deployment(where)
    , m_violations(into)
    , m_ledger(where)
    , m_late_counts(where.loads.size())
{
}

auditor::queue_key auditor::key_of(send const& which)
{
    return {which.serving_host, {which.plan->load, which.plan->team}};
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

void auditor::add_waiting(send const& which, model::time_point now)
{
    m_queues[key_of(which)][which.id.value] = {&which, now, {}};
}

void auditor::remove_waiting(send const& which)
{
    m_queues[key_of(which)].erase(which.id.value);
}

void auditor::dispatched(send const& which, model::time_point now)
{
    if (which.attempts == 1) {
        for (auto& [id, other] : m_queues[key_of(which)]) {
            bool const earlier = other.which->at < which.at;
            if (earlier && other.passed_over == model::time_point{}) {
                other.passed_over = now;
            }
        }
        m_ledger.dispatched(*which.plan, now);
        recent_event const own{now, which.serving_host, which.plan->load};
        check_recent(m_refusals, own, false);
        m_dispatches.push_back(own);
    }
}

void auditor::refused(send const& which,
                      decide::refuse const& how,
                      model::time_point now)
{
    if (how.outcome == model::outcome::not_run
        && how.retry_after.count() <= 0) {
        record("refusal_without_retry_after", which, now);
    }
    // A quarantined request is refused for its effect on engines, not for its
    // rank; a request that has run in part is not shed but has failed.
    if (how.kind == model::error_kind::quarantined || which.attempts > 0) {
        return;
    }
    check_wait(which, now);
    check_delayed_refusal(which, now);
    check_queues(which, now);
    recent_event const own{now, which.serving_host, which.plan->load};
    check_recent(m_dispatches, own, true);
    m_refusals.push_back(own);
}

void auditor::preempted(send const& which, model::time_point now)
{
    recent_event const own{now, which.serving_host, which.plan->load};
    check_queues(which, now);
    m_refusals.push_back(own);
}

void auditor::first_answer(send const& which, model::time_point now)
{
    check_wait(which, now);
}

void auditor::check_queues(send const& which, model::time_point now)
{
    for (auto const& [key, queue] : m_queues) {
        if (!displaces(which.plan->load, key.second.first)
            || !could_reach(which.serving_host, key.first)) {
            continue;
        }
        for (auto const& [id, lower] : queue) {
            if (now - lower.since >= digest_tolerance) {
                record("higher_tier_refused_while_lower_queued", which, now);
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

void auditor::check_delayed_refusal(send const& which, model::time_point now)
{
    lists::service_class const& own = m_deployment.class_of(which.plan->load);
    late_counts& counts = m_late_counts[which.plan->load];
    ++counts.refusals;
    if (now - which.at > own.max_wait / 2) {
        ++counts.late;
    }
    send_queue& queue = m_queues[key_of(which)];
    auto const found = queue.find(which.id.value);
    if (found == queue.end()) {
        return;
    }
    model::time_point const passed = found->second.passed_over;
    if (passed != model::time_point{} && now - passed > pass_over_tolerance) {
        record("refusal_held_back_after_passing_over", which, now);
    }
}

void auditor::check_wait(send const& which, model::time_point now)
{
    auto const bound =
        m_deployment.class_of(which.plan->load).max_wait + wait_tolerance;
    if (now - which.at > bound) {
        record("waited_longer_than_stated", which, now);
    }
}

void auditor::record(char const* kind, send const& which, model::time_point now)
{
    m_violations.record(
        kind,
        fmt::format("{} of {} at {:.3f} s after {:.3f} s",
                    m_deployment.loads[which.plan->load].service_class,
                    m_deployment.hosts[which.serving_host].name,
                    model::seconds(now - model::time_point{}).count(),
                    model::seconds(now - which.at).count()));
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
