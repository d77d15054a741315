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

/// Watches the fleet from outside and notes what must never happen.
///
/// A higher tier counts as refused for a lower one if, when it is refused,
/// lower work for the same upstreams that it could reach
///  - has been waiting in any host for `digest_tolerance`, so that the
///    refusing host could know, or
///  - is dispatched by the same host within `place_tolerance` of the refusal,
/// and the lower tier has had more than its guaranteed share of late (see
/// `tier_ledger`): up to that share its work is not in anyone's place.
///
/// A refusal counts as held back if the request had never been dispatched
/// and a later one of the same host, team and class went first more than
/// `pass_over_tolerance` before the refusal; or if more than `late_share` of
/// a class's refusals (of `least_late` at least) come after half of its
/// `max_wait` has gone.
///
/// Thread safety: none.
class auditor
{
public:
    static constexpr std::chrono::milliseconds digest_tolerance{500};
    static constexpr std::chrono::milliseconds place_tolerance{100};
    static constexpr std::chrono::seconds pass_over_tolerance{1};
    static constexpr double late_share = 0.1;
    static constexpr std::uint32_t least_late = 20;
    /// A first token may come this long after the class's `max_wait`.
    static constexpr std::chrono::seconds wait_tolerance{2};

    auditor(deployment const& where, violation_list& into);

    void cut(bool is_cut);
    /// The send waits at its serving host from now on.
    void waits(send const& which, model::time_point now);
    void waits_no_more(send const& which);
    void dispatched(send const& which, model::time_point now);
    void refused(send const& which,
                 decide::refuse const& how,
                 model::time_point now);
    /// An attempt was cancelled by the policy though its caller is there.
    void preempted(send const& which, model::time_point now);
    void first_answer(send const& which, model::time_point now);
    void finish();

private:
    struct waiting_send
    {
        send const* which = nullptr;
        model::time_point since{};
        /// When a later one went first; zero if none did.
        model::time_point passed_over{};
    };

    struct recent
    {
        model::time_point at{};
        std::size_t host = 0;
        std::size_t load = 0;
    };

    struct lateness
    {
        std::uint32_t refusals = 0;
        std::uint32_t late = 0;
    };

    using queue_key =
        std::pair<std::size_t, std::pair<std::size_t, std::size_t>>;
    using send_queue = std::map<std::uint64_t, waiting_send>;

    static queue_key key_of(send const& which);
    std::uint32_t rank(std::size_t load) const;
    bool same_upstreams(std::size_t left, std::size_t right) const;
    bool in_place(std::size_t higher, std::size_t lower) const;
    bool could_reach(std::size_t from, std::size_t to) const;
    void check_queues(send const& which, model::time_point now);
    void check_neighbours(std::deque<recent>& others,
                          recent const& own,
                          bool own_is_higher);
    void check_held_back(send const& which, model::time_point now);
    void check_wait(send const& which, model::time_point now);
    void note(char const* kind, send const& which, model::time_point now);

    deployment const& m_where;
    violation_list& m_into;
    tier_ledger m_ledger;
    std::map<queue_key, send_queue> m_queues;
    std::deque<recent> m_dispatches;
    std::deque<recent> m_refusals;
    std::vector<lateness> m_lateness;
    bool m_cut = false;
};

} // namespace caperjunction::bench

#endif
