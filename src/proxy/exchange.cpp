#include "proxy/exchange.hpp"

#include "proxy/message_text.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// A host that has just started receives its configuration and the upstreams
/// within a few round trips. If it takes longer, other hosts serve the caller
/// sooner.
constexpr model::milliseconds max_lists_wait{500};
constexpr model::milliseconds lists_poll{10};

model::milliseconds since(model::time_point from, model::time_point now)
{
    return std::chrono::duration_cast<model::milliseconds>(now - from);
}

} // namespace

exchange::exchange(relay_context& context,
                   message_head head,
                   std::string body,
                   answer_sink sink,
                   model::time_point arrived_lease_time)
    : m_context(context)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_sink(std::move(sink))
    , m_metadata(read_metadata(m_head, context.names))
    , m_arrived(context.loop.now())
    , m_arrived_lease_time(arrived_lease_time)
    , m_since_stop(context.since_stop())
{
    if (m_metadata.deadline) {
        m_deadline = m_arrived + *m_metadata.deadline;
    }
}

exchange::~exchange()
{
    m_context.loop.cancel(m_deadline_timer);
    m_context.loop.cancel(m_silence_timer);
    m_context.loop.cancel(m_withdrawal_timer);
    m_context.loop.cancel(m_wait_timer);
}

bool exchange::waits_for_lists() const
{
    auto const wait =
        std::min(m_metadata.deadline.value_or(max_lists_wait), max_lists_wait);
    return !m_context.has_lists() && !m_context.is_stopping
           && m_context.loop.now() - m_arrived < wait;
}

void exchange::start()
{
    if (m_metadata.id.empty()) {
        refuse(reason_code::malformed);
        return;
    }
    if (waits_for_lists()) {
        // The deadline depends on the route, so its timer isn't in use yet.
        auto const weak = weak_from_this();
        m_deadline_timer = m_context.loop.after(lists_poll, [weak] {
            auto const self = weak.lock();
            if (self && !self->m_ended) {
                self->start();
            }
        });
        return;
    }
    admit();
}

void exchange::admit()
{
    m_table = m_context.table;
    auto const admitted = routing::admit(m_table.get(),
                                         m_context.keys,
                                         {m_metadata.authority,
                                          m_metadata.path,
                                          m_metadata.key,
                                          m_arrived_lease_time});
    m_route = admitted.route;
    m_homes = admitted.homes;
    if (admitted.refused) {
        refuse(*admitted.refused);
        return;
    }
    if (!m_context.accepts_new_request(
            std::min(m_metadata.deadline.value_or(m_route->timeout),
                     m_route->timeout))) {
        refuse(reason_code::stopping);
        return;
    }
    m_rank = m_table->urgency(*m_route, admitted.team);
    if (admitted.team != nullptr) {
        m_team = admitted.team->name;
    }
    m_service = routing::route_table::pick_service(
        *m_route, std::hash<std::string>{}(m_metadata.id));
    m_is_most_urgent = m_table->is_most_urgent(*m_route);
    m_is_least_urgent = m_table->is_least_urgent(*m_route);
    m_context.retry_budget_for(m_service).record_request();
    auto const timeout = std::min(
        m_metadata.deadline.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived + std::max(timeout, 2 * return_margin);
    arm_deadline_timer(m_deadline - return_margin);
    if (takes_up_stream()) {
        find_software();
        return;
    }
    place();
}

void exchange::arm_deadline_timer(model::time_point at)
{
    auto const weak = weak_from_this();
    m_deadline_timer =
        m_context.loop.after(since(m_context.loop.now(), at), [weak] {
            if (auto const self = weak.lock()) {
                self->handle_deadline();
            }
        });
}

// The margin is for an answer that has yet to be sent. One that has begun may
// end in it.
void exchange::handle_deadline()
{
    if (m_has_begun && m_context.loop.now() < m_deadline) {
        arm_deadline_timer(m_deadline);
        return;
    }
    abandon(reason_code::timed_out);
}

void exchange::abandon(routing::refusal_reason reason)
{
    if (m_ended) {
        return;
    }
    if (m_host_wait) {
        refuse_waiting();
        return;
    }
    refuse(reason);
}

void exchange::stop()
{
    if (!m_ended) {
        m_report.ended_by = to_string(connection_end::own_close);
        abandon(reason_code::stopping);
    }
}

void exchange::cancel(std::string_view ended_by)
{
    if (m_ended) {
        return;
    }
    release_connection();
    m_report.ended_by = ended_by;
    m_sink.end = [](bool) {};
    end("left", false);
}

void exchange::handle_drained()
{
    if (m_connection) {
        m_connection->enable_reading(true);
    }
}

void exchange::refuse(routing::refusal_reason reason,
                      std::optional<model::milliseconds> retry_after)
{
    release_connection();
    if (m_has_begun) {
        // Its text would become part of the answer that has begun.
        m_report.reason = routing::to_string(reason);
        end("cut", false);
        return;
    }
    routing::refusal const refused =
        routing::refuse(reason, may_have_run(), retry_after);
    m_report.status = refused.status;
    m_report.reason = routing::to_string(refused.reason);
    m_sink.write(refusal_text(refused,
                              m_metadata.id,
                              m_context.names,
                              m_sink.keeps_alive(),
                              is_head_request()));
    end(may_have_run() ? "failed" : "refused", true);
}

void exchange::fill_report()
{
    m_report.id = m_metadata.id;
    m_report.route = m_route == nullptr ? "" : std::string_view(m_route->name);
    m_report.service = m_service;
    m_report.team = m_team;
    m_report.upstream = m_attempted.empty()
                            ? std::string_view()
                            : std::string_view(m_attempted.back());
    m_report.through = m_through;
    m_report.sent = m_state.sent;
    m_report.unreached = m_state.unreached;
    m_report.forecast = m_pick.forecast;
    m_report.uncached_tokens = m_pick.uncached_tokens;
    m_report.running = m_pick.running;
    m_report.pending_prefill_tokens = m_pick.pending_prefill_tokens;
    m_report.performance = m_pick.performance;
    m_report.tokens_per_ms = m_pick.tokens_per_ms;
    m_report.event_gap_forecast = m_pick.event_gap_forecast;
    m_report.more_urgent_share = m_pick.more_urgent_share;
    m_report.tokens_ahead = m_pick.tokens_ahead;
    m_report.reserved_engines = m_pick.reserved_engines;
    m_report.limited = m_pick.limited;
    m_report.candidates = m_pick.candidates;
    m_report.total = since(m_arrived, m_context.loop.now());
    m_report.since_sent = m_upstream ? since(m_sent_at, m_context.loop.now())
                                     : model::milliseconds{0};
    m_report.since_stop = m_since_stop;
    m_report.unsent_bytes = m_sink.unsent_bytes();
    m_report.events = m_events;
    m_report.takes_up = m_route != nullptr && takes_up_stream();
    m_report.resumed_id = m_metadata.resumed_id;
    m_report.resumed = m_resumed;
    m_report.first_version = m_first_version;
    m_report.last_version =
        m_upstream ? std::string_view(m_upstream->description.software_version)
                   : std::string_view();
    m_report.framing = m_answer.status == 0 ? std::string_view()
                                            : to_string(framing_of(m_answer));
    m_report.partial_event_bytes = m_framer.partial_event().size();
    m_report.longest_gap = m_event_gaps.longest();
    m_report.config_version = m_table ? m_table->config().version : 0;
    m_report.config_age = m_context.keys.age(m_context.lease_now());
    if (!m_service.empty()) {
        m_report.budget_left =
            m_context.retry_budget_for(m_service).available();
    }
}

void exchange::end(std::string_view outcome, bool complete)
{
    if (m_ended) {
        return;
    }
    auto const guard = shared_from_this();
    m_ended = true;
    m_context.loop.cancel(m_deadline_timer);
    m_context.loop.cancel(m_silence_timer);
    m_context.loop.cancel(m_withdrawal_timer);
    m_context.loop.cancel(m_wait_timer);
    leave_host_queue();
    end_trial();
    record_if_late();
    if (!m_attempted.empty()) {
        m_context.host_queue.run_soon(m_service);
    }
    fill_report();
    m_report.outcome = outcome;
    m_report.on_time = outcome == "served" && m_route != nullptr
                       && m_report.first_byte <= m_route->latency_target
                       && !m_route->is_gap_too_long(m_event_gaps.longest());
    if (m_context.on_ended) {
        m_context.on_ended(m_report);
    }
    m_sink.end(complete);
}

} // namespace caperjunction::proxy
