#include "proxy/exchange.hpp"

#include "proxy/message_text.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Kept for the answer's way back, so that it arrives before the caller
/// gives up.
constexpr model::milliseconds way_back{20};

model::milliseconds since(model::time_point from, model::time_point now)
{
    return std::chrono::duration_cast<model::milliseconds>(now - from);
}

} // namespace

exchange::exchange(relay_context& context,
                   message_head head,
                   std::string body,
                   answer_sink port,
                   model::time_point arrived_boot)
    : m_context(context)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_port(std::move(port))
    , m_facts(read_facts(m_head, context.names))
    , m_arrived(context.loop.now())
    , m_arrived_boot(arrived_boot)
    , m_since_stop(context.since_stop())
{
}

exchange::~exchange()
{
    m_context.loop.cancel(m_deadline_timer);
    m_context.loop.cancel(m_silence_timer);
}

void exchange::start()
{
    m_table = m_context.table;
    if (m_facts.id.empty()) {
        refuse(step::malformed);
        return;
    }
    auto const admitted = routing::admit(
        m_table.get(),
        m_context.keys,
        {m_facts.authority, m_facts.path, m_facts.key, m_arrived_boot});
    m_route = admitted.route;
    if (admitted.refused) {
        refuse(*admitted.refused);
        return;
    }
    if (!m_context.accepts_new_request(std::min(
            m_facts.deadline.value_or(m_route->timeout), m_route->timeout))) {
        refuse(step::stopping);
        return;
    }
    m_rank = m_table->urgency(*m_route, admitted.team);
    if (admitted.team != nullptr) {
        m_team = admitted.team->name;
    }
    m_service = routing::route_table::pick_service(
        *m_route, std::hash<std::string>{}(m_facts.id));
    auto const& routes = m_table->config().routes;
    m_is_most_urgent = std::none_of(
        routes.begin(), routes.end(), [&](routing::route const& other) {
            return other.has_prompt_affinity && other.rank < m_route->rank;
        });
    m_is_least_urgent = std::none_of(
        routes.begin(), routes.end(), [&](routing::route const& other) {
            return other.has_prompt_affinity && other.rank > m_route->rank;
        });
    m_context.allowance(m_service).record_request();
    auto const patience =
        std::min(m_facts.deadline.value_or(m_route->timeout), m_route->timeout);
    m_give_up = m_arrived + std::max(patience - way_back, way_back);
    auto const weak = weak_from_this();
    m_deadline_timer =
        m_context.loop.after(since(m_context.loop.now(), m_give_up), [weak] {
            if (auto const own = weak.lock()) {
                own->give_up(step::timed_out);
            }
        });
    place();
}

void exchange::give_up(routing::refusal_reason reason)
{
    if (m_ended) {
        return;
    }
    drop_connection();
    if (m_began) {
        end("cut", false);
        return;
    }
    refuse(reason);
}

void exchange::stop()
{
    if (!m_ended) {
        m_report.ended_by = to_string(connection_end::own_close);
        give_up(step::stopping);
    }
}

void exchange::cancel(std::string_view ended_by)
{
    if (m_ended) {
        return;
    }
    drop_connection();
    m_report.ended_by = ended_by;
    m_port.end = [](bool) {};
    end("left", false);
}

void exchange::drained()
{
    if (m_connection) {
        m_connection->enable_reading(true);
    }
}

void exchange::refuse(routing::refusal_reason reason,
                      std::optional<model::milliseconds> comes_back)
{
    drop_connection();
    routing::refusal const refused =
        routing::refuse(reason, may_have_run(), comes_back);
    m_report.status = refused.status;
    m_report.reason = routing::to_string(refused.reason);
    m_port.write(refusal_text(refused,
                              m_facts.id,
                              m_context.names,
                              m_port.keeps_alive(),
                              is_head_request()));
    end(may_have_run() ? "failed" : "refused", true);
}

void exchange::fill_report()
{
    m_report.id = m_facts.id;
    m_report.route = m_route == nullptr ? "" : std::string_view(m_route->name);
    m_report.service = m_service;
    m_report.team = m_team;
    m_report.upstream =
        m_tried.empty() ? std::string_view() : std::string_view(m_tried.back());
    m_report.sent = m_state.sent;
    m_report.unreached = m_state.unreached;
    m_report.forecast = m_pick.forecast;
    m_report.cold_tokens = m_pick.uncached_tokens;
    m_report.running = m_pick.running;
    m_report.unread_tokens = m_pick.pending_prefill_tokens;
    m_report.pace = m_pick.performance;
    m_report.lane = m_pick.reserved_engines;
    m_report.limited = m_pick.limited;
    m_report.candidates = m_pick.candidates;
    m_report.total = since(m_arrived, m_context.loop.now());
    m_report.since_stop = m_since_stop;
    m_report.unsent_bytes = m_port.unsent_bytes();
    m_report.events = m_events;
    m_report.longest_gap = m_pauses.longest();
    m_report.config_version = m_table ? m_table->config().version : 0;
    m_report.config_age = m_context.keys.age(m_context.boot_now());
    if (!m_service.empty()) {
        m_report.budget_left = m_context.allowance(m_service).available();
    }
}

void exchange::end(std::string_view outcome, bool whole)
{
    if (m_ended) {
        return;
    }
    auto const keep = shared_from_this();
    m_ended = true;
    m_context.loop.cancel(m_deadline_timer);
    m_context.loop.cancel(m_silence_timer);
    fill_report();
    m_report.outcome = outcome;
    m_report.on_time = outcome == "served" && m_route != nullptr
                       && m_report.first_byte <= m_route->latency_target
                       && !m_route->is_gap_too_long(m_pauses.longest());
    if (m_context.on_ended) {
        m_context.on_ended(m_report);
    }
    m_port.end(whole);
}

} // namespace caperjunction::proxy
