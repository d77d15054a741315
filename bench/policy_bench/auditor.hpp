#ifndef CAPERJUNCTION_BENCH_AUDITOR_HPP
#define CAPERJUNCTION_BENCH_AUDITOR_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/send.hpp"
#include "bench/policy_bench/tier_ledger.hpp"
#include "bench/policy_bench/violation_list.hpp"
#include "decide/decision.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace caperjunction::bench {

/// Observes the fleet from outside and records violations of its rules.
///
/// A request of a higher tier counts as displaced by a lower tier if, at its
/// refusal, lower-tier work for the same upstreams that is reachable
///  - has been queued at any host for `digest_tolerance`, so that the refusing
///    host could know of it, or
///  - is dispatched by the same host within `place_tolerance` of the refusal,
/// and the lower tier has recently had more than its guaranteed share (see
/// `tier_ledger`). Up to that share, its work displaces no other work.
///
/// A refusal counts as delayed if the request was never dispatched and a later
/// one of the same host, team and class was dispatched more than
/// `pass_over_tolerance` before the refusal; or if more than `max_late_share`
/// of a class's refusals (and at least `min_late_refusals`) come after half of
/// its `max_wait`.
///
/// Thread safety: none.
class auditor
{
public:
    static constexpr std::chrono::milliseconds digest_tolerance{500};
    static constexpr std::chrono::milliseconds place_tolerance{100};
    static constexpr std::chrono::seconds pass_over_tolerance{1};
    static constexpr double max_late_share = 0.1;
    static constexpr std::uint32_t min_late_refusals = 20;
    /// Allowed delay of a first token after the class's `max_wait`.
    static constexpr std::chrono::seconds wait_tolerance{2};

    auditor(deployment const& deployment, violation_list& into);

    void cut(bool is_cut);
    /// The send starts to wait at its serving host.
    void add_waiting(send const& request, model::time_point now);
    void remove_waiting(send const& request);
    void dispatched(send const& request, model::time_point now);
    void refused(send const& request,
                 decide::refuse const& how,
                 model::time_point now);
    /// The policy cancelled an attempt although the caller still waits.
    void preempted(send const& request, model::time_point now);
    void first_answer(send const& request, model::time_point now);
    void finish();

private:
    struct waiting_send
    {
        send const* request = nullptr;
        model::time_point since{};
        /// When a later send was dispatched first; zero if none was.
        model::time_point passed_over{};
    };

    struct recent_event
    {
        model::time_point at{};
        std::size_t host = 0;
        std::size_t load = 0;
    };

    struct late_counts
    {
        std::uint32_t refusals = 0;
        std::uint32_t late = 0;
    };

    using queue_key =
        std::pair<std::size_t, std::pair<std::size_t, std::size_t>>;
    using send_queue = std::map<std::uint64_t, waiting_send>;

    static queue_key key_of(send const& request);
    std::uint32_t rank(std::size_t load) const;
    bool same_upstreams(std::size_t left, std::size_t right) const;
    bool displaces(std::size_t higher, std::size_t lower) const;
    bool could_reach(std::size_t from, std::size_t to) const;
    void check_queues(send const& request, model::time_point now);
    void check_recent(std::deque<recent_event>& others,
                      recent_event const& own,
                      bool own_is_higher);
    void check_delayed_refusal(send const& request, model::time_point now);
    void check_wait(send const& request, model::time_point now);
    void record(char const* kind, send const& request, model::time_point now);

    deployment const& m_deployment;
    violation_list& m_violations;
    tier_ledger m_ledger;
    std::map<queue_key, send_queue> m_queues;
    std::deque<recent_event> m_dispatches;
    std::deque<recent_event> m_refusals;
    std::vector<late_counts> m_late_counts;
    bool m_cut = false;
};

} // namespace caperjunction::bench

#endif
