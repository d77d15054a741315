#include "net/hand_over.hpp"
#include "net/relay.hpp"

#include "model/error.hpp"

#include <utility>
#include <vector>

namespace caperjunction::net {
namespace {

constexpr std::string_view event_stream = "text/event-stream";

std::string field_of(std::vector<fleet::header_field> const& fields,
                     std::string const& name)
{
    for (fleet::header_field const& field : fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    return "";
}

} // namespace

void relay::hand_over(decide::hand_over const& decision)
{
    exchange* const active = find(decision.id);
    if (active == nullptr) {
        return;
    }
    // A claim belongs to the host that made it, so a call that may run only
    // once is not handed over.
    if (!active->request.repeatable || active->answer_started) {
        report_event(decide::hand_over_refused{decision.id, decision.host});
        return;
    }
    active->to_host = decision.host;
    report(hand_over_requested{decision.host, pack(*active, m_loop.now())});
}

void relay::serve(serve_handed_over const& message)
{
    model::request_id const id = message.request.id;
    try {
        auto created = unpack(message.request, m_loop.now());
        created->from_host = message.from;
        created->caller = make_peer_sink(message.from, id);
        if (accept(std::move(created))) {
            return;
        }
    } catch (model::error const&) {
        // Refused below: the other host serves the request or answers its
        // caller.
    }
    report(hand_over_ended{message.from,
                           {id,
                            fleet::hand_over_result::refused,
                            model::outcome::not_run,
                            "host_full"}});
}

caller_sink relay::make_peer_sink(std::string const& host, model::request_id id)
{
    caller_sink sink;
    sink.complete = [this, host, id](complete_answer const& answer) {
        fleet::hand_over_chunk chunk;
        chunk.id = id;
        chunk.status = static_cast<std::uint16_t>(answer.status);
        chunk.headers = {{"content-type", std::string(answer.content_type)}};
        chunk.bytes = std::string(answer.body);
        report(hand_over_chunk_ready{host, std::move(chunk)});
        report(hand_over_ended{host,
                               {id,
                                fleet::hand_over_result::complete,
                                answer.metadata.outcome,
                                ""}});
    };
    sink.begin = [this, host](model::request_id started) {
        fleet::hand_over_chunk chunk;
        chunk.id = started;
        chunk.status = 200;
        chunk.headers = {{"content-type", std::string(event_stream)}};
        report(hand_over_chunk_ready{host, std::move(chunk)});
    };
    sink.events = [this, host, id](std::string_view events) {
        fleet::hand_over_chunk chunk;
        chunk.id = id;
        chunk.bytes = std::string(events);
        report(hand_over_chunk_ready{host, std::move(chunk)});
    };
    sink.end = [this, host, id](model::outcome outcome) {
        report(hand_over_ended{
            host, {id, fleet::hand_over_result::complete, outcome, ""}});
    };
    sink.unsent_bytes = [] {
        return std::size_t{0};
    };
    return sink;
}

void relay::receive(receive_chunk const& part)
{
    exchange* const active = find(part.chunk.id);
    if (active == nullptr || active->to_host != part.from) {
        return;
    }
    if (part.chunk.status != 0) {
        active->status = part.chunk.status;
        active->answer_content_type =
            field_of(part.chunk.headers, "content-type");
    }
    if (active->first_byte_at == model::time_point{}) {
        active->first_byte_at = m_loop.now();
    }
    if (active->answer_content_type != event_stream) {
        active->collected += part.chunk.bytes;
    } else if (!part.chunk.bytes.empty()) {
        relay_events(*active, part.chunk.bytes);
    }
}

void relay::receive(receive_end const& end)
{
    exchange* const active = find(end.end.id);
    if (active == nullptr || active->to_host != end.from) {
        return;
    }
    if (end.end.result != fleet::hand_over_result::complete) {
        handle_broken_end(*active, end.end);
        return;
    }
    if (active->caller && active->answer_started) {
        active->caller->end(end.end.outcome);
    } else if (active->caller) {
        active->caller->complete({active->status,
                                  active->answer_content_type,
                                  active->collected,
                                  {active->request.id, end.end.outcome}});
    }
    report_event(decide::attempt_ended{
        end.end.id, end.from, decide::attempt_end::complete, 0, 0});
    finish(*active, end.end.outcome, "");
}

void relay::handle_broken_end(exchange& active, fleet::hand_over_end const& end)
{
    std::string const host = std::exchange(active.to_host, "");
    active.collected.clear();
    if (!active.answer_started) {
        // Nothing has reached the caller, and the request is repeatable.
        report_event(decide::hand_over_refused{end.id, host});
        return;
    }
    report_event(decide::request_cancelled{end.id});
    decide::refuse refusal;
    refusal.id = end.id;
    refusal.kind = model::error_kind::upstream_failed;
    refusal.outcome = model::outcome::unknown;
    refusal.retry_after = model::milliseconds{1'000};
    refusal.reason = "serving_host_lost";
    refusal.remedy = "send it again";
    refuse(refusal);
}

void relay::cancel(cancel_handed_over const& cancel)
{
    exchange* const active = find(cancel.id);
    if (active != nullptr && active->from_host == cancel.from) {
        handle_disconnect(cancel.id);
    }
}

void relay::drop(drop_host const& dropped)
{
    std::vector<model::request_id> served_by_host;
    std::vector<model::request_id> received_from_host;
    for (auto const& [id, active] : m_exchanges) {
        if (active->to_host == dropped.host) {
            served_by_host.push_back(id);
        } else if (active->from_host == dropped.host) {
            received_from_host.push_back(id);
        }
    }
    for (model::request_id const id : served_by_host) {
        handle_broken_end(*find(id),
                          {id,
                           fleet::hand_over_result::broken,
                           model::outcome::unknown,
                           "host_lost"});
    }
    for (model::request_id const id : received_from_host) {
        handle_disconnect(id);
    }
}

} // namespace caperjunction::net
