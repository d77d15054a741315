#include "stand_ins/http_client.hpp"

#include <event2/buffer.h>

namespace caperjunction::testing {
namespace {

// Only a test that fails waits so long.
constexpr timeval patience{20, 0};

} // namespace

test_loop::test_loop()
    : m_base(event_base_new(), &event_base_free)
{
}

bool test_loop::run_until(std::function<bool()> const& happened)
{
    bool late = false;
    auto const expired = [](evutil_socket_t, short, void* flag) {
        *static_cast<bool*>(flag) = true;
    };
    std::unique_ptr<event, decltype(&event_free)> const guard(
        evtimer_new(base(), expired, &late), &event_free);
    evtimer_add(guard.get(), &patience);
    while (!happened() && !late) {
        event_base_loop(base(), EVLOOP_ONCE);
    }
    return happened();
}

http_call::http_call(test_loop& loop,
                     model::endpoint const& to,
                     evhttp_cmd_type method,
                     std::string const& path,
                     std::string const& body,
                     headers const& extra)
    : m_connection(evhttp_connection_base_new(
        loop.base(), nullptr, to.address.c_str(), to.port))
{
    evhttp_request* const request = evhttp_request_new(&http_call::done, this);
    evhttp_request_set_chunked_cb(request, &http_call::chunk);
    evkeyvalq* const fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", to.address.c_str());
    for (auto const& [name, value] : extra) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    evbuffer_add(
        evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(m_connection, request, method, path.c_str());
}

http_call::~http_call()
{
    hang_up();
}

void http_call::hang_up()
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
        m_connection = nullptr;
    }
}

void http_call::take(evhttp_request* request)
{
    evbuffer* const input = evhttp_request_get_input_buffer(request);
    std::size_t const size = evbuffer_get_length(input);
    std::string part(size, '\0');
    evbuffer_remove(input, part.data(), size);
    m_body += part;
}

void http_call::chunk(evhttp_request* request, void* self)
{
    static_cast<http_call*>(self)->take(request);
}

void http_call::done(evhttp_request* request, void* self)
{
    auto* const that = static_cast<http_call*>(self);
    that->m_over = true;
    if (request != nullptr) {
        that->m_status = evhttp_request_get_response_code(request);
        that->take(request);
    }
}

} // namespace caperjunction::testing
