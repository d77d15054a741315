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

/// The hosts. Each has its own policy, passes it the events that a production
/// host would, and executes its decisions.
///
/// Thread safety: none.
class fleet
{
public:
    /// Called with the final answer of a send; `retry_after` is set if the
    /// caller may retry.
    using answer_hook =
        std::function<void(send const&, model::milliseconds retry_after)>;

    /// Timeout of a connection attempt across a cut link.
    static constexpr std::chrono::seconds connect_timeout{1};
    /// Timeout of a silent connection or peer.
    static constexpr std::chrono::seconds silence_timeout{3};
    static constexpr std::uint64_t bytes_per_prompt_token = 4;
    /// Each output token is sent as a separate event of the stream.
    static constexpr std::uint64_t bytes_per_output_token = 120;
    static constexpr std::uint64_t message_bytes = 400;

    fleet(deployment const& deployment,
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

    /// Ends ticks and digests.
    void stop();

    /// Passes a request to a host. Returns the index of the send in `sends()`.
    std::size_t add_request(planned_request const& plan,
                            std::size_t caller,
                            std::uint32_t number,
                            std::size_t host);

    /// Cancels a send; no effect if it has its final answer.
    void hang_up(std::size_t send_index);

    /// Like `hang_up`, for a caller whose wait timed out; records a violation.
    void give_up(std::size_t send_index);

    /// Passes an event to a host's policy and executes its decisions.
    void handle_event(std::size_t host, decide::event const& event);

    /// Cuts or restores the link between the regions.
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
    void broadcast_digest(std::size_t host);
    decide::request describe(send const& request, bool handed_over) const;

    // Decisions of a host's policy.
    void apply(std::size_t host, decide::decision const& decision);
    void apply(std::size_t host, decide::dispatch const& decided);
    void apply(std::size_t host, decide::refuse const& decided);
    void apply(std::size_t host, decide::cancel_attempt const& decided);
    void apply(std::size_t host, decide::hand_over const& decided);
    bool may_dispatch(std::size_t host,
                      send const* request,
                      decide::dispatch const& decided);
    void check_refusal(send const& request, decide::refuse const& decided);
    /// Returns null and records a violation if the host does not have it.
    send* find_send(std::size_t host, model::request_id id);

    // Replies of upstreams, on their way to the host and the caller.
    void submit_to_upstream(std::uint64_t number,
                            std::uint32_t priority,
                            std::uint32_t resume_offset);
    void handle_tokens(std::uint64_t number, std::uint32_t tokens);
    void handle_end(std::uint64_t number, decide::attempt_end end);
    void handle_crash(std::size_t upstream);
    void relay(std::size_t send_index, std::uint32_t tokens);
    void complete(send& request);

    // Hand-overs between hosts.
    void accept_hand_over(std::size_t send_index, std::size_t host);
    void hand_back(std::size_t send_index);
    void break_cross_region_attempts();
    void break_cross_region_hand_overs();

    void set_waiting(send& request);
    void finish(send& request, send_end end, model::milliseconds retry_after);
    std::uint64_t request_bytes(send const& request) const;

    attempt& attempt_of(std::uint64_t number)
    {
        return m_attempts[number - 1];
    }

    std::size_t index_of(send const& request) const
    {
        return static_cast<std::size_t>(request.id.value & 0xffffffffULL) - 1;
    }

    deployment const& m_deployment;
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
    /// The policy is handling the cancellation of a request.
    bool m_hanging_up = false;
};

} // namespace caperjunction::bench

#endif
