#include "net/http_sink.hpp"

#include "net/sockets.hpp"

#include <event2/buffer.h>
#include <event2/http.h>

#include <string>
#include <utility>

namespace caperjunction::net {
namespace {

constexpr int status_ok = 200;

void add_header(evhttp_request* caller,
                char const* name,
                std::string const& value)
{
    evhttp_add_header(
        evhttp_request_get_output_headers(caller), name, value.c_str());
}

void send_complete(evhttp_request* caller, complete_answer const& answer)
{
    add_header(
        caller, "caperjunction-request-id", to_string(answer.metadata.id));
    add_header(caller,
               "caperjunction-outcome",
               std::string(model::to_string(answer.metadata.outcome)));
    add_header(caller, "Content-Type", std::string(answer.content_type));
    if (answer.retry_after.count() > 0) {
        add_header(
            caller, "Retry-After", round_up_to_seconds(answer.retry_after));
    }
    evbuffer* const out = evhttp_request_get_output_buffer(caller);
    evbuffer_add(out, answer.body.data(), answer.body.size());
    evhttp_send_reply(caller, answer.status, nullptr, nullptr);
}

void begin_events(evhttp_request* caller, model::request_id id)
{
    add_header(caller, "caperjunction-request-id", to_string(id));
    add_header(caller, "Content-Type", "text/event-stream");
    add_header(caller, "Cache-Control", "no-cache");
    evhttp_send_reply_start(caller, status_ok, nullptr);
}

void send_events(evhttp_request* caller, std::string_view events)
{
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, events.data(), events.size());
    evhttp_send_reply_chunk(caller, chunk);
    flush_output(caller);
    evbuffer_free(chunk);
}

} // namespace

caller_sink make_http_sink(evhttp_request* caller,
                           std::function<void()> const& before_end)
{
    caller_sink sink;
    sink.complete = [caller, before_end](complete_answer const& answer) {
        before_end();
        send_complete(caller, answer);
    };
    sink.begin = [caller](model::request_id id) {
        begin_events(caller, id);
    };
    sink.events = [caller](std::string_view events) {
        send_events(caller, events);
    };
    sink.end = [caller, before_end](model::outcome /*outcome*/) {
        before_end();
        evhttp_send_reply_end(caller);
    };
    sink.unsent_bytes = [caller] {
        return unsent_bytes(caller);
    };
    return sink;
}

} // namespace caperjunction::net
