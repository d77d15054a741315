#include "model/answer_status.hpp"
#include "model/retry_after.hpp"
#include "net/upstream_client.hpp"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <string>
#include <string_view>

namespace caperjunction::net {
namespace {

/// Makes libevent, which passes over 100 alone, read another head in place of
/// this interim one. Returns false if a body would follow it.
bool pass_over_head(evhttp_request* request)
{
    constexpr int continue_status = 100;
    evkeyvalq* const headers = evhttp_request_get_input_headers(request);
    char const* const length = evhttp_find_header(headers, "Content-Length");
    bool const has_body =
        (length != nullptr && std::string_view(length) != "0")
        || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
    evhttp_clear_headers(headers);
    request->response_code = continue_status;
    return !has_body;
}

std::string header_of(evhttp_request* request, char const* name)
{
    char const* const value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

} // namespace

int upstream_client::handle_head(evhttp_request* request, void* self)
{
    constexpr int proceed = 0;
    constexpr int break_off = -1;
    auto& call = *static_cast<running_call*>(self);
    switch (
        model::answer_status_of(evhttp_request_get_response_code(request))) {
    case model::answer_status::invalid:
        return break_off;
    case model::answer_status::interim:
        return pass_over_head(request) ? proceed : break_off;
    case model::answer_status::final:
        break;
    }
    call.answered = true;
    call.progressed = call.owner->m_loop.now();
    if (call.hooks.head && !call.ended) {
        call.hooks.head(
            {evhttp_request_get_response_code(request),
             header_of(request, "Content-Type"),
             header_of(request, "caperjunction-outcome") == "not-run",
             model::parse_retry_after(header_of(request, "Retry-After"))
                 .value_or(model::milliseconds{0})});
    }
    return proceed;
}

} // namespace caperjunction::net
