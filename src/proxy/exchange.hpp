#ifndef CAPERJUNCTION_PROXY_EXCHANGE_HPP
#define CAPERJUNCTION_PROXY_EXCHANGE_HPP

#include "proxy/answer_sink.hpp"
#include "proxy/event_framer.hpp"
#include "proxy/event_gap_meter.hpp"
#include "proxy/exchange_report.hpp"
#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/request_metadata.hpp"
#include "proxy/trial_state.hpp"
#include "proxy/trial_step.hpp"
#include "proxy/upstream_connection.hpp"
#include "routing/admission.hpp"
#include "routing/load_ticket.hpp"
#include "routing/overload_rule.hpp"
#include "routing/pick.hpp"
#include "routing/retry_rule.hpp"
#include "routing/shared_part.hpp"
#include "routing/waiting_request.hpp"
#include "routing/withdrawal_rule.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::proxy {

/// Handles one request: admission, placement, sending, retries, and forwarding
/// of the answer.
///
/// Thread safety: none; owned by the loop's task.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// `arrived_lease_time` is read from the clock of `context.lease_now` after
    /// the request's last byte.
    exchange(relay_context& context,
             message_head head,
             std::string body,
             answer_sink sink,
             model::time_point arrived_lease_time);
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// Admits, places and sends the request, after a short wait if the host has
    /// no configuration yet. May call the sink before it returns.
    void start();

    /// Called when the caller's connection has ended. Cancels the work at the
    /// upstream immediately. `ended_by` names who ended the connection and must
    /// remain valid.
    void cancel(std::string_view ended_by);

    /// Called shortly before the process exits. Sends a final answer, or cuts
    /// off an answer that has already started.
    void stop();

    /// Called when all written bytes have been handed to the socket.
    void handle_drained();

    /// Time after which the caller expects nothing more of this request; zero
    /// if it has stated none and was refused before its route was known.
    model::time_point deadline() const
    {
        return m_deadline;
    }

private:
    using reason_code = routing::refusal_reason;

    /// Reserved before the deadline for sending a final answer.
    static constexpr model::milliseconds return_margin{20};

    // exchange_place.cpp
    void place();
    void refuse_unplaced();
    routing::overload_inputs overload_inputs() const;
    std::optional<model::milliseconds> overload_retry_after() const;
    routing::pick_request pick_request();
    std::uint64_t request_hash() const;
    routing::pick choose();
    bool has_alternative();

    // exchange_share.cpp
    void record_asked();
    void record_admitted();
    void record_if_late();
    void refuse_overload(model::milliseconds retry_after);

    // exchange_wait.cpp
    bool may_use_host_queue() const;
    model::milliseconds elapsed_for_overload() const;
    model::time_point host_wait_end() const;
    /// Returns whether the request waits, or was refused as the queue is full.
    bool handle_host_wait();
    bool enter_host_queue(bool is_excess);
    void attempt_waiting(bool is_blocked);
    void refuse_waiting();
    void leave_host_queue();

    // exchange_parts.cpp
    std::vector<routing::shared_part> const& shared_parts();
    std::uint64_t request_key();
    routing::shared_part whole_request();
    bool are_parts_free() const;
    bool is_quarantined();
    routing::part_judgement judge_parts(routing::software const& at);
    std::vector<routing::software> kept_from();
    bool is_kept_back();
    bool awaits_verdict();
    void wait_for_verdict(std::function<void()> const& then);
    void refuse_for_parts();
    void record_broken_parts();
    broken_attempt current_attempt();
    void record_unanswered();
    void record_written_parts();
    void record_answered_parts();
    void run_later(model::milliseconds delay,
                   std::function<void()> const& then);

    // exchange_trial.cpp
    std::vector<routing::shared_part> suspects();
    bool may_overtake();
    trial_step next_trial_step();
    void claim_trial();
    routing::upstream_state const* upstream_for_trial();
    bool is_trial_possible();
    void begin_trial();
    void end_trial();

    // exchange_send.cpp
    bool is_still_admitted();
    void send_to(routing::pick const& chosen);
    void arm_silence_timer(routing::pick const& chosen);
    void attempt_ended(routing::attempt_end result);
    void retry(routing::attempt_end result);
    bool is_upstream_silent() const;
    bool can_retry(routing::attempt_end result);
    bool acquire_retry(routing::attempt_end result);
    void release_connection();
    model::milliseconds time_left() const;
    std::uint32_t rank() const;

    // exchange_withdraw.cpp
    void arm_withdrawal_timer();
    void check_withdrawal_after(model::milliseconds delay);
    void check_withdrawal();
    routing::withdrawal_inputs withdrawal_inputs();
    std::optional<model::milliseconds> forecast_elsewhere();
    void withdraw();

    // exchange_answer.cpp
    void handle_connected();
    void record_received();
    void handle_head(message_head&& head);
    bool has_own_request_id(message_head const& head);
    void handle_body(std::string_view bytes);
    void handle_events(std::uint64_t count);
    void record_speed(model::time_point::duration gap, std::uint64_t count);
    /// Whether a body follows the head of the answer.
    bool expects_body() const;
    void start_forwarding();
    void forward(std::string_view bytes);
    void send_complete_answer();
    void record_first_byte();

    // exchange_end.cpp
    void handle_end();
    bool is_stream_broken_off() const;
    void handle_fault(answer_fault fault);
    void record_fault(answer_fault fault);
    void report_broken_attempt();
    /// Time since the head of the current attempt's answer; negative if there
    /// was none.
    model::milliseconds since_head() const;

    /// Returns whether the host has just started and may have its configuration
    /// and upstreams soon.
    bool waits_for_lists() const;
    void admit();

    // exchange_take_up.cpp
    bool takes_up_stream() const;
    void find_software();
    void take_up(std::optional<routing::software> const& found);
    bool waits_for_list();
    bool continues_stream() const;
    bool has_expected_software() const;
    bool knows_software() const;
    void record_first_event();
    void arm_deadline_timer(model::time_point at);
    void handle_deadline();
    void fill_report();
    void abandon(routing::refusal_reason reason);
    void refuse(routing::refusal_reason reason,
                std::optional<model::milliseconds> retry_after = std::nullopt);
    void end(std::string_view outcome, bool complete);

    bool may_have_run() const
    {
        return m_may_have_run;
    }

    /// Whether the current attempt goes to its upstream directly.
    bool is_direct() const
    {
        return m_connection && !m_connection->peer();
    }

    bool is_head_request() const
    {
        return m_head.method == "HEAD";
    }

    relay_context& m_context;
    message_head m_head;
    std::string m_body;
    answer_sink m_sink;
    request_metadata m_metadata;
    std::shared_ptr<routing::route_table const> m_table;
    routing::route const* m_route = nullptr;
    std::string m_team;
    /// By the newest configuration at the last admission or retry.
    routing::home_regions m_homes;
    std::string m_service;
    std::uint32_t m_rank = 0;
    bool m_is_most_urgent = false;
    bool m_is_least_urgent = false;

    model::time_point m_arrived;
    model::time_point m_arrived_lease_time;
    model::milliseconds m_since_stop;
    model::time_point m_deadline{};
    runtime::timer_handle m_deadline_timer;
    runtime::timer_handle m_silence_timer;
    runtime::timer_handle m_withdrawal_timer;

    // State of the current attempt.
    routing::upstream_ptr m_upstream;
    std::shared_ptr<upstream_connection> m_connection;
    routing::pick m_pick;
    model::time_point m_sent_at{};
    /// It has been recorded that the current attempt was broken off.
    bool m_is_break_recorded = false;
    /// Its upstream has begun to answer, if only to refuse it.
    bool m_has_received = false;
    /// The upstream has accepted a connection for the current attempt.
    bool m_has_connected = false;
    std::optional<model::time_point> m_head_at;
    routing::load_ticket m_load;
    message_head m_answer;
    std::string m_answer_body;
    event_framer m_framer;
    bool m_is_stream = false;

    // State over all attempts.
    routing::attempt_state m_state;
    std::vector<std::string> m_attempted;
    /// Host through which the last attempt went; empty: directly.
    std::string m_through;
    bool m_may_have_run = false;
    /// Its tokens count as demand of its team.
    bool m_is_asked_recorded = false;
    /// Its tokens count as admitted until it turns out to begin late.
    bool m_is_counted_in_time = false;
    /// From `routing::request_key`, once it was asked for.
    std::optional<std::uint64_t> m_request_key;
    /// What other requests may share of it, once that was asked for.
    std::optional<std::vector<routing::shared_part>> m_shared_parts;
    trial_state m_trial;
    std::vector<routing::software> m_kept_from;
    runtime::timer_handle m_wait_timer;
    /// Since when it waits for a recent list, to take up a stream.
    std::optional<model::time_point> m_waits_for_list_since;
    /// It was in flight when an upstream broke its connection.
    bool m_was_broken = false;
    /// The current attempt's answer has shown that its parts are sound.
    bool m_has_cleared_parts = false;
    bool m_has_begun = false;
    bool m_keep_alive = true;
    std::string m_last_event_id;
    std::uint64_t m_events = 0;
    std::uint32_t m_resumed = 0;
    /// Software that began the stream; no value: no event has been passed on.
    std::optional<routing::software> m_software;
    std::string m_first_version;
    event_gap_meter m_event_gaps;
    /// Set while the request waits in the queue of this host.
    std::optional<routing::waiting_request> m_host_wait;
    bool m_ended = false;
    exchange_report m_report;
};

} // namespace caperjunction::proxy

#endif
