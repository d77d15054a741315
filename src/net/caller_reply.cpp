#include "net/caller_reply.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace caperjunction::net {
namespace {

struct kind_status
{
    model::error_kind kind;
    int status;
};

constexpr std::array<kind_status, 12> statuses{{
    {model::error_kind::bad_settings, 500},
    {model::error_kind::bad_list, 500},
    {model::error_kind::bad_request, 400},
    {model::error_kind::unauthenticated, 401},
    {model::error_kind::not_entitled, 403},
    {model::error_kind::not_found, 404},
    {model::error_kind::too_large, 413},
    {model::error_kind::refused, 429},
    {model::error_kind::quarantined, 422},
    {model::error_kind::upstream_failed, 502},
    {model::error_kind::unavailable, 503},
    {model::error_kind::timed_out, 504},
}};

void add_header(evhttp_request* caller,
                char const* name,
                std::string const& value)
{
    evhttp_add_header(
        evhttp_request_get_output_headers(caller), name, value.c_str());
}

void add_facts(evhttp_request* caller, reply_facts const& facts)
{
    add_header(caller, "caperjunction-request-id", to_string(facts.id));
    add_header(caller,
               "caperjunction-outcome",
               std::string(model::to_string(facts.outcome)));
}

std::string whole_seconds(model::milliseconds time)
{
    // Rounded up: a caller that comes a moment early is refused again.
    return std::to_string((time.count() + 999) / 1000);
}

} // namespace

int status_of(model::error_kind kind)
{
    for (kind_status const& entry : statuses) {
        if (entry.kind == kind) {
            return entry.status;
        }
    }
    return 500;
}

std::string to_string(model::request_id id)
{
    return fmt::format("{:016x}", id.value);
}

std::string error_body(error_reply const& error, reply_facts const& facts)
{
    nlohmann::json const body{
        {"error",
         {{"message", error.message + "; " + error.remedy},
          {"type", model::to_string(error.kind)},
          {"code", model::to_string(error.kind)},
          {"remedy", error.remedy},
          {"request_id", to_string(facts.id)},
          {"outcome", model::to_string(facts.outcome)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void send_whole(evhttp_request* caller,
                int status,
                std::string_view content_type,
                std::string_view body,
                reply_facts const& facts)
{
    add_facts(caller, facts);
    add_header(caller, "Content-Type", std::string(content_type));
    evbuffer* const out = evhttp_request_get_output_buffer(caller);
    evbuffer_add(out, body.data(), body.size());
    evhttp_send_reply(caller, status, nullptr, nullptr);
}

void send_error(evhttp_request* caller,
                error_reply const& error,
                reply_facts const& facts)
{
    if (error.retry_after.count() > 0) {
        add_header(caller, "Retry-After", whole_seconds(error.retry_after));
    }
    send_whole(caller,
               status_of(error.kind),
               "application/json",
               error_body(error, facts),
               facts);
}

void begin_events(evhttp_request* caller, model::request_id id)
{
    add_header(caller, "caperjunction-request-id", to_string(id));
    add_header(caller, "Content-Type", "text/event-stream");
    add_header(caller, "Cache-Control", "no-cache");
    evhttp_send_reply_start(caller, 200, nullptr);
}

void send_events(evhttp_request* caller, std::string_view events)
{
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, events.data(), events.size());
    evhttp_send_reply_chunk(caller, chunk);
    evbuffer_free(chunk);
}

std::string closing_events(model::outcome outcome)
{
    std::string events = fmt::format(": caperjunction-outcome={}\n\n",
                                     model::to_string(outcome));
    if (outcome == model::outcome::ran) {
        events += "data: [DONE]\n\n";
    }
    return events;
}

void end_events(evhttp_request* caller)
{
    evhttp_send_reply_end(caller);
}

} // namespace caperjunction::net
