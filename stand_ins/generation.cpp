#include "stand_ins/generation.hpp"

#include "stand_ins/token_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

// Output buffered for a client that reads more slowly than tokens are
// computed. Without this limit it fills the memory.
constexpr std::size_t max_backlog_bytes = std::size_t{256} * 1024;
constexpr std::chrono::milliseconds backlog_poll_interval{1};

} // namespace

generation::generation(event_base* base,
                       std::shared_ptr<exchange> call,
                       generation_request request,
                       hooks callbacks)
    : m_call(std::move(call))
    , m_request(std::move(request))
    , m_hooks(std::move(callbacks))
    , m_timer(base,
              [this] {
                  compute_next();
              })
    , m_tag(prompt_tag(m_request.prompt))
    , m_next(m_request.resume_offset)
{
    build_event_template();
}

void generation::build_event_template()
{
    std::string const model = nlohmann::json(m_request.model).dump();
    std::string const id = nlohmann::json("gen-" + m_request.id).dump();
    char const* const object =
        m_request.is_chat ? "chat.completion.chunk" : "text_completion";
    m_event_head = fmt::format(
        R"(data: {{"id":{},"object":"{}","created":0,"model":{},"choices":[{{"index":0,)",
        id,
        object,
        model);
    m_event_head +=
        m_request.is_chat ? R"("delta":{"content":")" : R"("text":")";
    m_event_tail = m_request.is_chat ? R"("},"finish_reason":null}]})"
                                     : R"(","finish_reason":null}]})";
    m_event_tail += "\n\n";
}

void generation::begin(timing const& token_timing)
{
    m_begun = true;
    m_timing = token_timing;
    m_due = std::chrono::steady_clock::now() + token_timing.first_token;
    m_timer.start(token_timing.first_token);
    if (m_request.is_stream) {
        m_call->add_header("Cache-Control", "no-cache");
        m_call->start("text/event-stream");
    }
}

void generation::stall()
{
    m_timer.stop();
    m_call->send(m_pending);
    m_pending.clear();
}

void generation::abort()
{
    m_timer.stop();
    m_call->abort();
}

void generation::compute_next()
{
    if (m_request.is_stream && m_call->backlog() > max_backlog_bytes) {
        m_timer.start(backlog_poll_interval);
        return;
    }
    for (std::uint32_t sent = 0; sent < std::max(m_timing.burst, 1U); ++sent) {
        if (m_next >= m_request.max_tokens) {
            finish();
            return;
        }
        if (!m_hooks.before_token(*this)) {
            return;
        }
        send_token();
    }
    m_call->send(m_pending);
    m_pending.clear();
    schedule_next();
}

void generation::send_token()
{
    if (m_request.is_stream) {
        m_pending += m_event_head;
        m_pending += token_text(m_tag, m_next);
        m_pending += m_event_tail;
    }
    ++m_next;
}

void generation::schedule_next()
{
    if (m_next >= m_request.max_tokens) {
        m_timer.start(std::chrono::microseconds(0));
        return;
    }
    // Computed from the previous due time rather than from now. Otherwise
    // each late timer slows the stream down.
    m_due += m_timing.between_tokens * std::max(m_timing.burst, 1U);
    auto const wait = std::chrono::duration_cast<std::chrono::microseconds>(
        m_due - std::chrono::steady_clock::now());
    m_timer.start(std::max(wait, std::chrono::microseconds(0)));
}

std::string generation::usage() const
{
    constexpr std::size_t characters_per_token = 4;
    std::size_t const prompt = m_request.prompt.size() / characters_per_token;
    return fmt::format(
        R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
        prompt,
        m_next,
        prompt + m_next);
}

std::string generation::complete_answer() const
{
    std::string text;
    for (std::uint32_t index = m_request.resume_offset; index < m_next;
         ++index) {
        text += token_text(m_tag, index);
    }
    nlohmann::json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (m_request.is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    nlohmann::json const answer{
        {"id", "gen-" + m_request.id},
        {"object", m_request.is_chat ? "chat.completion" : "text_completion"},
        {"created", 0},
        {"model", m_request.model},
        {"choices", nlohmann::json::array({choice})},
        {"usage", nlohmann::json::parse(usage())}};
    return answer.dump();
}

void generation::finish()
{
    if (m_request.is_stream) {
        std::string final_events =
            m_event_head.substr(0, m_event_head.rfind("\"index\""));
        final_events +=
            m_request.is_chat
                ? R"("index":0,"delta":{},"finish_reason":"stop"}],"usage":)"
                : R"("index":0,"text":"","finish_reason":"stop"}],"usage":)";
        final_events += usage() + "}\n\ndata: [DONE]\n\n";
        m_call->send(m_pending + final_events);
        m_pending.clear();
        m_call->finish();
    } else {
        m_call->reply_json(200, complete_answer());
    }
    // Copied because the hook may destroy this generation.
    auto const finished = m_hooks.finished;
    finished(*this);
}

} // namespace caperjunction::stand_ins
