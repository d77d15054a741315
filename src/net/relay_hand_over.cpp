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
    exchange* const held = find(decision.id);
    if (held == nullptr) {
        return;
    }
    // A claim belongs to the host that made it; what may run only once stays
    // where its claim is.
    if (!held->request.repeatable || held->begun) {
        tell(decide::hand_over_refused{decision.id, decision.host});
        return;
    }
    held->to_host = decision.host;
    report(hand_over_requested{decision.host, pack(*held, m_loop.now())});
}

void relay::serve(serve_handed_over const& given)
{
    model::request_id const id = given.request.id;
    try {
        auto made = unpack(given.request, m_loop.now());
        made->from_host = given.from;
        made->caller = make_peer_sink(given.from, id);
        if (take(std::move(made))) {
            return;
        }
    } catch (model::error const&) {
        // Answered below: the other host serves it or tells its caller.
    }
    report(hand_over_ended{given.from,
                           {id,
                            fleet::hand_over_result::refused,
                            model::outcome::not_run,
                            "host_full"}});
}

caller_sink relay::make_peer_sink(std::string const& host, model::request_id id)
{
    caller_sink sink;
    sink.whole = [this, host, id](complete_answer const& answer) {
        fleet::hand_over_chunk chunk;
        chunk.id = id;
        chunk.status = static_cast<std::uint16_t>(answer.status);
        chunk.headers = {{"content-type", std::string(answer.content_type)}};
        chunk.bytes = std::string(answer.body);
        report(hand_over_chunk_ready{host, std::move(chunk)});
        report(hand_over_ended{
            host,
            {id, fleet::hand_over_result::complete, answer.facts.outcome, ""}});
    };
    sink.begin = [this, host](model::request_id begun) {
        fleet::hand_over_chunk chunk;
        chunk.id = begun;
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
    sink.unsent = [] {
        return std::size_t{0};
    };
    return sink;
}

void relay::take(receive_chunk const& part)
{
    exchange* const held = find(part.chunk.id);
    if (held == nullptr || held->to_host != part.from) {
        return;
    }
    if (part.chunk.status != 0) {
        held->status = part.chunk.status;
        held->answer_type = field_of(part.chunk.headers, "content-type");
    }
    if (held->first_byte == model::time_point{}) {
        held->first_byte = m_loop.now();
    }
    if (held->answer_type != event_stream) {
        held->collected += part.chunk.bytes;
    } else if (!part.chunk.bytes.empty()) {
        pass_events(*held, part.chunk.bytes);
    }
}

void relay::take(receive_end const& end)
{
    exchange* const held = find(end.end.id);
    if (held == nullptr || held->to_host != end.from) {
        return;
    }
    if (end.end.result != fleet::hand_over_result::complete) {
        take_broken_end(*held, end.end);
        return;
    }
    if (held->caller && held->begun) {
        held->caller->end(end.end.outcome);
    } else if (held->caller) {
        held->caller->whole({held->status,
                             held->answer_type,
                             held->collected,
                             {held->request.id, end.end.outcome}});
    }
    tell(decide::attempt_ended{
        end.end.id, end.from, decide::attempt_end::complete, 0, 0});
    finish(*held, end.end.outcome, "");
}

void relay::take_broken_end(exchange& held, fleet::hand_over_end const& end)
{
    std::string const host = std::exchange(held.to_host, "");
    held.collected.clear();
    if (!held.begun) {
        // Nothing has reached the caller, and repeating does no harm.
        tell(decide::hand_over_refused{end.id, host});
        return;
    }
    tell(decide::request_cancelled{end.id});
    decide::refuse no;
    no.id = end.id;
    no.kind = model::error_kind::upstream_failed;
    no.outcome = model::outcome::unknown;
    no.retry_after = model::milliseconds{1'000};
    no.reason = "serving_host_lost";
    no.remedy = "send it again";
    refuse(no);
}

void relay::cancel(cancel_handed_over const& cancel)
{
    exchange* const held = find(cancel.id);
    if (held != nullptr && held->from_host == cancel.from) {
        forget_caller(cancel.id);
    }
}

void relay::lose(drop_host const& lost)
{
    std::vector<model::request_id> served_there;
    std::vector<model::request_id> asked_from_there;
    for (auto const& [id, held] : m_exchanges) {
        if (held->to_host == lost.host) {
            served_there.push_back(id);
        } else if (held->from_host == lost.host) {
            asked_from_there.push_back(id);
        }
    }
    for (model::request_id const id : served_there) {
        take_broken_end(*find(id),
                        {id,
                         fleet::hand_over_result::broken,
                         model::outcome::unknown,
                         "host_lost"});
    }
    for (model::request_id const id : asked_from_there) {
        forget_caller(id);
    }
}

} // namespace caperjunction::net
