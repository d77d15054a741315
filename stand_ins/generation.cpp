#include "stand_ins/generation.hpp"

#include "stand_ins/token_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

// A client that reads more slowly than tokens come must not fill the memory.
constexpr std::size_t max_backlog_bytes = std::size_t{256} * 1024;
constexpr std::chrono::milliseconds backlog_pause{1};

} // namespace

generation::generation(event_base* base,
                       std::shared_ptr<exchange> call,
                       generation_request request,
                       hooks on)
    : m_call(std::move(call))
    , m_request(std::move(request))
    , m_hooks(std::move(on))
    , m_timer(base,
              [this] {
                  step();
              })
    , m_tag(prompt_tag(m_request.prompt))
    , m_next(m_request.resume_offset)
{
    make_template();
}

void generation::make_template()
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

void generation::begin(pace const& speed)
{
    m_begun = true;
    m_pace = speed;
    m_due = std::chrono::steady_clock::now() + speed.first_token;
    m_timer.start(speed.first_token);
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

void generation::step()
{
    if (m_request.is_stream && m_call->backlog() > max_backlog_bytes) {
        m_timer.start(backlog_pause);
        return;
    }
    for (std::uint32_t sent = 0; sent < std::max(m_pace.burst, 1U); ++sent) {
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
    wait_for_next();
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

void generation::wait_for_next()
{
    if (m_next >= m_request.max_tokens) {
        m_timer.start(std::chrono::microseconds(0));
        return;
    }
    // From the due time, not from now: timers that come late must not slow
    // the stream down.
    m_due += m_pace.between_tokens * std::max(m_pace.burst, 1U);
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

std::string generation::whole_answer() const
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
        std::string last =
            m_event_head.substr(0, m_event_head.rfind("\"index\""));
        last +=
            m_request.is_chat
                ? R"("index":0,"delta":{},"finish_reason":"stop"}],"usage":)"
                : R"("index":0,"text":"","finish_reason":"stop"}],"usage":)";
        last += usage() + "}\n\ndata: [DONE]\n\n";
        m_call->send(m_pending + last);
        m_pending.clear();
        m_call->finish();
    } else {
        m_call->reply_json(200, whole_answer());
    }
    // A copy, since the hook may destroy this generation.
    auto const finished = m_hooks.finished;
    finished(*this);
}

} // namespace caperjunction::stand_ins
