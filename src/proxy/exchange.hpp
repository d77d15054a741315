#ifndef CAPERJUNCTION_PROXY_EXCHANGE_HPP
#define CAPERJUNCTION_PROXY_EXCHANGE_HPP

#include "proxy/answer_sink.hpp"
#include "proxy/event_framer.hpp"
#include "proxy/event_gap_meter.hpp"
#include "proxy/exchange_report.hpp"
#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/request_facts.hpp"
#include "proxy/upstream_connection.hpp"
#include "routing/admission.hpp"
#include "routing/pick.hpp"
#include "routing/retry_rule.hpp"

#include <memory>
#include <string>
#include <vector>

namespace caperjunction::proxy {

/// One request on its way: admitted, placed, sent, perhaps sent again, and
/// its answer passed on.
///
/// Thread safety: none; owned by the loop's task.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// `arrived_boot` is read from the clock of `context.boot_now` after the
    /// request's last byte.
    exchange(relay_context& context,
             message_head head,
             std::string body,
             answer_sink port,
             model::time_point arrived_boot);
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// Decides and sends. The port may be called before it returns.
    void start();

    /// The caller's connection is over: the work is ended at the upstream
    /// too, at once. `ended_by` names who ended the connection and must stay
    /// valid.
    void cancel(std::string_view ended_by);

    /// The process is about to end: the caller gets its final answer now, or
    /// its answer is cut if it has begun.
    void stop();

    /// The caller has taken what was written.
    void drained();

private:
    using step = routing::refusal_reason;

    // exchange_place.cpp
    void place();
    void refuse_unplaced();
    std::optional<model::milliseconds> comes_back_after() const;
    routing::pick_request pick_request();
    routing::pick choose();
    bool has_other_place();
    std::uint64_t fingerprint();
    bool is_quarantined();

    // exchange_send.cpp
    bool is_still_allowed();
    void send_to(routing::pick const& chosen);
    void arm_silence_timer(routing::pick const& chosen);
    void try_ended(routing::attempt_end how);
    bool is_upstream_silent() const;
    bool can_try_again(routing::attempt_end how);
    bool takes_retry(routing::attempt_end how);
    void drop_connection();
    model::milliseconds time_left() const;
    std::uint32_t rank() const;

    // exchange_answer.cpp
    void take_head(message_head&& head);
    bool is_for_us(message_head const& head);
    void take_body(std::string_view bytes);
    void take_end();
    void take_fault(answer_fault why);
    void begin_stream();
    void pass_on(std::string_view bytes);
    void deliver_whole();
    void note_first_byte();

    void fill_report();
    void give_up(routing::refusal_reason reason);
    void refuse(routing::refusal_reason reason,
                std::optional<model::milliseconds> comes_back = std::nullopt);
    void end(std::string_view outcome, bool whole);

    bool may_have_run() const
    {
        return m_may_have_run;
    }

    bool is_head_request() const
    {
        return m_head.method == "HEAD";
    }

    relay_context& m_context;
    message_head m_head;
    std::string m_body;
    answer_sink m_port;
    request_facts m_facts;
    std::shared_ptr<routing::route_table const> m_table;
    routing::route const* m_route = nullptr;
    std::string m_team;
    std::string m_service;
    std::uint32_t m_rank = 0;
    bool m_is_most_urgent = false;
    bool m_is_least_urgent = false;

    model::time_point m_arrived;
    model::time_point m_arrived_boot;
    model::milliseconds m_since_stop;
    model::time_point m_give_up{};
    runtime::timer_handle m_deadline_timer;
    runtime::timer_handle m_silence_timer;

    // The present try.
    routing::upstream_ptr m_upstream;
    std::shared_ptr<upstream_connection> m_connection;
    routing::pick m_pick;
    model::time_point m_sent_at{};
    std::uint64_t m_unread_tokens = 0;
    routing::performance_meter::ticket m_waiting = 0;
    bool m_counted = false;
    message_head m_answer;
    std::string m_answer_body;
    event_framer m_cutter;
    bool m_is_stream = false;

    // All tries.
    routing::attempt_state m_state;
    std::vector<std::string> m_tried;
    bool m_may_have_run = false;
    std::uint64_t m_fingerprint = 0;
    bool m_began = false;
    bool m_keep_alive = true;
    std::string m_last_event_id;
    std::uint64_t m_events = 0;
    event_gap_meter m_pauses;
    bool m_ended = false;
    exchange_report m_report;
};

} // namespace caperjunction::proxy

#endif
