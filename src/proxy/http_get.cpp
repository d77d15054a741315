#include "proxy/http_get.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr int speed_checks_per_slow_start = 8;

} // namespace

http_get::http_get(runtime::event_loop& loop)
    : m_loop(loop)
{
}

http_get::~http_get()
{
    stop();
}

void http_get::stop()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_speed_timer);
    record_end();
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
}

void http_get::set_timeout(model::milliseconds timeout)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(timeout, [this] {
        fail("silent");
    });
}

void http_get::record_end()
{
    if (std::exchange(m_is_active, false)) {
        m_ended_at = m_loop.now();
    }
}

void http_get::fail(std::string_view reason)
{
    stop();
    auto const callbacks = std::exchange(m_hooks, {});
    if (callbacks.on_failed) {
        callbacks.on_failed(reason);
    }
}

get_progress http_get::progress() const
{
    auto const until = m_is_active ? m_loop.now() : m_ended_at;
    auto const since = [until](model::time_point from) {
        return std::chrono::duration_cast<model::milliseconds>(until - from);
    };
    return {m_bytes, since(m_started_at), since(m_last_byte_at)};
}

void http_get::watch_speed()
{
    m_loop.cancel(m_speed_timer);
    m_speed_checks = 0;
    m_speed_timer = m_loop.every(
        m_request.slow_start / speed_checks_per_slow_start, [this] {
            check_speed();
        });
}

// Time is counted in checks that ran: after a freeze of this process the answer
// lies in the socket, and none of it is read yet.
void http_get::check_speed()
{
    ++m_speed_checks;
    auto const slow_start = model::seconds(m_request.slow_start).count();
    double const elapsed =
        m_speed_checks * slow_start / speed_checks_per_slow_start;
    if (elapsed > slow_start
        && static_cast<double>(m_bytes)
               < m_request.min_bytes_per_second * elapsed) {
        fail("slow");
    }
}

void http_get::handle_body(std::string_view bytes)
{
    m_bytes += bytes.size();
    m_last_byte_at = m_loop.now();
    if (m_bytes > m_request.max_body_bytes) {
        fail("too_long");
        return;
    }
    m_body.append(bytes);
    set_timeout(m_request.idle_timeout);
}

void http_get::start(get_request const& request, hooks callbacks)
{
    bool const may_reuse = m_connection && m_connection->is_open()
                           && m_connection->is_available()
                           && m_request.at == request.at;
    if (!may_reuse) {
        stop();
        m_connection =
            std::make_shared<upstream_connection>(m_loop, request.at);
    }
    m_request = request;
    m_hooks = std::move(callbacks);
    m_body.clear();
    m_head = {};
    m_bytes = 0;
    m_is_active = true;
    m_started_at = m_loop.now();
    m_last_byte_at = m_started_at;
    set_timeout(request.first_byte_timeout);
    m_loop.cancel(m_speed_timer);
    m_connection->send(
        fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\n{}\r\n",
                    request.target,
                    request.at.address,
                    request.at.port,
                    request.close_after ? "Connection: close\r\n" : ""),
        false,
        request.connect_timeout,
        {[this](message_head&& head) {
             m_head = std::move(head);
             set_timeout(m_request.idle_timeout);
             watch_speed();
         },
         [this](std::string_view bytes) {
             handle_body(bytes);
         },
         [this] {
             m_loop.cancel(m_timer);
             m_loop.cancel(m_speed_timer);
             record_end();
             auto const body = std::exchange(m_body, {});
             auto const answered = std::exchange(m_hooks, {});
             answered.on_answer(m_head.status, body);
         },
         [this](answer_fault fault) {
             fail(fault == answer_fault::unreachable ? "unreachable"
                                                     : "broken");
         }});
}

} // namespace caperjunction::proxy
