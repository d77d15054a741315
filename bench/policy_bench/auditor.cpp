#include "bench/policy_bench/auditor.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {

auditor::auditor(deployment const& where, violation_list& into)
    : m_where(where)
    , m_into(into)
    , m_ledger(where)
    , m_lateness(where.loads.size())
{
}

auditor::queue_key auditor::key_of(send const& which)
{
    return {which.serving_host, {which.plan->load, which.plan->team}};
}

std::uint32_t auditor::rank(std::size_t load) const
{
    return m_where.tier_of(load).rank;
}

bool auditor::same_upstreams(std::size_t left, std::size_t right) const
{
    class_load const& first = m_where.loads[left];
    class_load const& second = m_where.loads[right];
    return first.model == second.model && first.service == second.service;
}

bool auditor::in_place(std::size_t higher, std::size_t lower) const
{
    return rank(higher) < rank(lower) && same_upstreams(higher, lower)
           && m_ledger.above_share(lower);
}

bool auditor::could_reach(std::size_t from, std::size_t to) const
{
    return !m_cut || m_where.hosts[from].region == m_where.hosts[to].region;
}

void auditor::cut(bool is_cut)
{
    m_cut = is_cut;
}

void auditor::waits(send const& which, model::time_point now)
{
    m_queues[key_of(which)][which.id.value] = {&which, now, {}};
}

void auditor::waits_no_more(send const& which)
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
        recent const own{now, which.serving_host, which.plan->load};
        check_neighbours(m_refusals, own, false);
        m_dispatches.push_back(own);
    }
}

void auditor::refused(send const& which,
                      decide::refuse const& how,
                      model::time_point now)
{
    if (how.outcome == model::outcome::not_run
        && how.retry_after.count() <= 0) {
        note("refusal_without_retry_after", which, now);
    }
    // A quarantined request is refused for what it does, not for its place;
    // one that has run in part is not shed but failed.
    if (how.kind == model::error_kind::quarantined || which.attempts > 0) {
        return;
    }
    check_wait(which, now);
    check_held_back(which, now);
    check_queues(which, now);
    recent const own{now, which.serving_host, which.plan->load};
    check_neighbours(m_dispatches, own, true);
    m_refusals.push_back(own);
}

void auditor::preempted(send const& which, model::time_point now)
{
    recent const own{now, which.serving_host, which.plan->load};
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
        if (!in_place(which.plan->load, key.second.first)
            || !could_reach(which.serving_host, key.first)) {
            continue;
        }
        for (auto const& [id, lower] : queue) {
            if (now - lower.since >= digest_tolerance) {
                note("higher_tier_refused_while_lower_queued", which, now);
                return;
            }
        }
    }
}

void auditor::check_neighbours(std::deque<recent>& others,
                               recent const& own,
                               bool own_is_higher)
{
    while (!others.empty() && others.front().at + place_tolerance < own.at) {
        others.pop_front();
    }
    for (recent const& other : others) {
        std::size_t const higher = own_is_higher ? own.load : other.load;
        std::size_t const lower = own_is_higher ? other.load : own.load;
        if (other.host == own.host && in_place(higher, lower)) {
            m_into.note("lower_tier_admitted_in_place_of_higher",
                        fmt::format("{} at {}",
                                    m_where.loads[higher].service_class,
                                    m_where.hosts[own.host].name));
            return;
        }
    }
}

void auditor::check_held_back(send const& which, model::time_point now)
{
    lists::service_class const& own = m_where.class_of(which.plan->load);
    lateness& counts = m_lateness[which.plan->load];
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
        note("refusal_held_back_after_passing_over", which, now);
    }
}

void auditor::check_wait(send const& which, model::time_point now)
{
    auto const bound =
        m_where.class_of(which.plan->load).max_wait + wait_tolerance;
    if (now - which.at > bound) {
        note("waited_longer_than_stated", which, now);
    }
}

void auditor::note(char const* kind, send const& which, model::time_point now)
{
    m_into.note(kind,
                fmt::format("{} of {} at {:.3f} s after {:.3f} s",
                            m_where.loads[which.plan->load].service_class,
                            m_where.hosts[which.serving_host].name,
                            model::seconds(now - model::time_point{}).count(),
                            model::seconds(now - which.at).count()));
}

void auditor::finish()
{
    for (std::size_t load = 0; load < m_lateness.size(); ++load) {
        lateness const& counts = m_lateness[load];
        if (counts.late >= least_late
            && counts.late > late_share * counts.refusals) {
            m_into.note("refusals_held_back_towards_their_deadline",
                        fmt::format("{}: {} of {}",
                                    m_where.loads[load].service_class,
                                    counts.late,
                                    counts.refusals));
        }
    }
}

} // namespace caperjunction::bench
