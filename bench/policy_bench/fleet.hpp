#ifndef CAPERJUNCTION_BENCH_FLEET_HPP
#define CAPERJUNCTION_BENCH_FLEET_HPP

#include "bench/policy_bench/attempt.hpp"
#include "bench/policy_bench/auditor.hpp"
#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/network.hpp"
#include "bench/policy_bench/policy.hpp"
#include "bench/policy_bench/send.hpp"
#include "bench/policy_bench/upstream_set.hpp"
#include "bench/policy_bench/violation_list.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace caperjunction::bench {

/// The hosts: each has a policy of its own, is told what the product's host
/// would be told, and does what the policy decides.
///
/// Thread safety: none.
class fleet
{
public:
    /// The final answer of a send; `retry_after` if it was told to come back.
    using answer_hook =
        std::function<void(send const&, model::milliseconds retry_after)>;

    /// A connection across a cut link is given up after this.
    static constexpr std::chrono::seconds connect_timeout{1};
    /// Silence on an open connection or from a peer is noticed after this.
    static constexpr std::chrono::seconds silence_timeout{3};
    static constexpr std::uint64_t bytes_per_prompt_token = 4;
    /// An output token travels as an event of its own in the stream.
    static constexpr std::uint64_t bytes_per_output_token = 120;
    static constexpr std::uint64_t message_bytes = 400;

    fleet(deployment const& where,
          std::uint64_t seed,
          policy_maker const& make,
          event_queue& queue,
          network& net,
          auditor& watch,
          violation_list& violations);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    void start(answer_hook answered,
               model::time_point settled,
               model::time_point window_end,
               std::chrono::milliseconds digest_period);

    /// No more ticks and digests.
    void stop();

    /// A caller's request reaches a host; returns its index in `sends()`.
    std::size_t arrive(planned_request const& plan,
                       std::size_t caller,
                       std::uint32_t number,
                       std::size_t host);

    /// Nothing if the send has its final answer.
    void hang_up(std::size_t which);

    /// The same for a caller that has run out of patience: a violation.
    void give_up(std::size_t which);

    /// Tells a host's policy something and does what it decides.
    void tell(std::size_t host, decide::event const& event);

    /// Cuts the regions off from each other, or joins them.
    void cut(bool is_cut);

    upstream_set& upstreams()
    {
        return m_upstreams;
    }

    std::deque<send> const& sends() const
    {
        return m_sends;
    }

    std::deque<attempt> const& attempts() const
    {
        return m_attempts;
    }

private:
    struct host_state
    {
        bench::policy policy;
        bench::place place;
    };

    upstream_hooks hooks_of(std::size_t upstream);
    void tick(std::size_t host);
    void spread_digest(std::size_t host);
    decide::request describe(send const& which, bool handed_over) const;

    // What the policy of a host decided.
    void apply(std::size_t host, decide::decision const& decision);
    void apply(std::size_t host, decide::dispatch const& decided);
    void apply(std::size_t host, decide::refuse const& decided);
    void apply(std::size_t host, decide::cancel_attempt const& decided);
    void apply(std::size_t host, decide::hand_over const& decided);
    bool may_dispatch(std::size_t host,
                      send const* which,
                      decide::dispatch const& decided);
    void check_refusal(send const& which, decide::refuse const& decided);
    /// Null, and a violation, if the host does not have it.
    send* held(std::size_t host, model::request_id id);

    // What upstreams say, and how it reaches the host and the caller.
    void hand_to_upstream(std::uint64_t number,
                          std::uint32_t priority,
                          std::uint32_t resume_offset);
    void take_tokens(std::uint64_t number, std::uint32_t tokens);
    void take_end(std::uint64_t number, decide::attempt_end end);
    void take_crash(std::size_t upstream);
    void relay(std::size_t which, std::uint32_t tokens);
    void complete(send& which);

    // Requests on their way between hosts.
    void take_over(std::size_t which, std::size_t host);
    void hand_back(std::size_t which);
    void break_attempts_across();
    void break_hand_overs_across();

    void put_in_wait(send& which);
    void finish(send& which, send_end end, model::milliseconds retry_after);
    std::uint64_t request_bytes(send const& which) const;

    attempt& attempt_of(std::uint64_t number)
    {
        return m_attempts[number - 1];
    }

    std::size_t index_of(send const& which) const
    {
        return static_cast<std::size_t>(which.id.value & 0xffffffffULL) - 1;
    }

    deployment const& m_where;
    event_queue& m_queue;
    network& m_network;
    auditor& m_auditor;
    violation_list& m_violations;
    upstream_set m_upstreams;
    std::vector<host_state> m_hosts;
    std::deque<send> m_sends;
    std::deque<attempt> m_attempts;
    answer_hook m_answered;
    std::chrono::milliseconds m_digest_period{0};
    model::time_point m_settled{};
    model::time_point m_window_end{};
    bool m_stopped = false;
    /// The policy is being told that a caller is gone.
    bool m_hanging_up = false;
};

} // namespace caperjunction::bench

#endif
