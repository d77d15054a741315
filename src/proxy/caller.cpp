#include "proxy/caller.hpp"

#include "proxy/message_text.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller::caller(relay_context& context,
               std::function<void(caller const*)> on_closed)
    : m_context(context)
    , m_on_closed(std::move(on_closed))
    , m_reader(HTTP_REQUEST,
               {[this](message_head&& head) {
                    handle_head(std::move(head));
                },
                [this](std::string_view bytes) {
                    handle_body(bytes);
                },
                [this] {
                    start_exchange();
                }})
{
}

routing::caller_limits const& caller::limits() const
{
    static routing::caller_limits const s_defaults;
    return m_context.table ? m_context.table->config().limits : s_defaults;
}

caller::~caller()
{
    release_body();
}

void caller::release_body()
{
    m_context.buffered_bytes -= std::exchange(m_buffered_bytes, 0);
}

void caller::serve(int socket)
{
    m_phase_start = m_context.loop.now();
    m_idle_timeout = limits().idle_timeout;
    // The hooks keep this caller alive until its connection has ended.
    auto const self = shared_from_this();
    m_stream = tcp_stream::adopt(m_context.loop,
                                 socket,
                                 {nullptr,
                                  [self](std::string_view bytes) {
                                      self->handle_data(bytes);
                                  },
                                  [self](connection_end reason) {
                                      self->connection_ended(reason);
                                  },
                                  [self] {
                                      self->handle_drained();
                                  }});
}

void caller::handle_drained()
{
    if (m_exchange) {
        m_exchange->handle_drained();
        return;
    }
    // The idle time starts when the answer has been handed to the socket, not
    // when the upstream has finished it.
    if (m_reader.is_between_messages()) {
        m_phase_start = m_context.loop.now();
    }
}

void caller::handle_data(std::string_view bytes)
{
    auto const guard = shared_from_this();
    if (m_closing) {
        return;
    }
    if (m_exchange || !m_pending.empty()) {
        m_pending.append(bytes);
        if (m_pending.size() > max_pending) {
            m_stream->enable_reading(false);
        }
        return;
    }
    parse(bytes);
}

void caller::parse(std::string_view bytes)
{
    m_reader.set_max_head_bytes(limits().header_bytes);
    if (m_reader.is_between_messages()) {
        m_phase_start = m_context.loop.now();
    }
    while (!bytes.empty() && !m_exchange && !m_closing) {
        bytes.remove_prefix(m_reader.feed(bytes));
        if (m_closing) {
            return;
        }
        if (m_reader.fault() == read_fault::head_too_long) {
            reject(routing::refusal_reason::head_too_long);
            return;
        }
        if (m_reader.fault() == read_fault::malformed) {
            reject(routing::refusal_reason::malformed);
            return;
        }
    }
    m_pending.append(bytes);
}

void caller::handle_head(message_head&& head)
{
    m_head = std::move(head);
    m_body.clear();
    m_has_head = true;
    if (m_head.length.value_or(0) > limits().body_bytes) {
        reject(routing::refusal_reason::body_too_long);
        return;
    }
    std::string const* const expected = m_head.find("Expect");
    if (expected != nullptr && header_names_equal(*expected, "100-continue")) {
        m_stream->write(continue_response);
    }
}

void caller::handle_body(std::string_view bytes)
{
    if (m_closing) {
        return;
    }
    m_body.append(bytes);
    m_buffered_bytes += bytes.size();
    m_context.buffered_bytes += bytes.size();
    if (m_context.buffered_bytes > m_context.settings.max_buffered_bytes) {
        reject(routing::refusal_reason::host_full);
        return;
    }
    if (m_body.size() > limits().body_bytes) {
        reject(routing::refusal_reason::body_too_long);
    }
}

bool caller::keeps_alive() const
{
    return m_head.keep_alive && m_head.minor_version > 0
           && !m_context.is_stopping;
}

bool caller::announce_keep_alive()
{
    m_keep_alive_announced = keeps_alive();
    return m_keep_alive_announced;
}

bool caller::is_connected()
{
    auto const guard = shared_from_this();
    m_stream->read_available();
    return !m_closing;
}

void caller::start_exchange()
{
    m_has_head = false;
    m_keep_alive_announced = false;
    if (m_closing) {
        return;
    }
    std::weak_ptr<caller> const weak = weak_from_this();
    answer_sink sink;
    sink.write = [weak](std::string_view bytes) {
        if (auto const self = weak.lock()) {
            self->m_stream->write(bytes);
        }
    };
    sink.end = [weak](bool complete) {
        if (auto const self = weak.lock()) {
            self->end_exchange(complete);
        }
    };
    sink.keeps_alive = [weak] {
        auto const self = weak.lock();
        return self && self->announce_keep_alive();
    };
    sink.is_connected = [weak] {
        auto const self = weak.lock();
        return self && self->is_connected();
    };
    sink.unsent_bytes = [weak] {
        auto const self = weak.lock();
        return self ? self->m_stream->unsent_bytes() : 0;
    };
    m_exchange = std::make_shared<exchange>(m_context,
                                            m_head,
                                            std::move(m_body),
                                            std::move(sink),
                                            m_context.lease_now());
    m_body = {};
    auto const current = m_exchange;
    current->start();
}

} // namespace caperjunction::proxy
