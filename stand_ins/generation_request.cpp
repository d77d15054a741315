#include "stand_ins/generation_request.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace caperjunction::stand_ins {
namespace {

std::string to_text(nlohmann::json const& content)
{
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string join_messages(nlohmann::json const& messages)
{
    std::string text;
    for (nlohmann::json const& message : messages) {
        if (message.is_object() && message.contains("content")) {
            text += to_text(message["content"]);
            text += '\n';
        }
    }
    return text;
}

std::uint32_t read_unsigned(nlohmann::json const& body,
                            char const* field,
                            std::uint32_t default_value)
{
    auto const found = body.find(field);
    bool const is_present = found != body.end() && found->is_number_unsigned();
    return is_present ? found->get<std::uint32_t>() : default_value;
}

std::uint32_t header_number(exchange const& call, char const* name)
{
    constexpr int decimal = 10;
    std::string const text = call.header(name);
    return static_cast<std::uint32_t>(
        std::strtoul(text.c_str(), nullptr, decimal));
}

} // namespace

std::optional<generation_request> parse_generation(exchange const& call)
{
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    if (!body.is_object() || !body.contains("model")
        || !body["model"].is_string()) {
        return std::nullopt;
    }
    generation_request request;
    request.is_chat = call.path() == "/v1/chat/completions";
    char const* const source = request.is_chat ? "messages" : "prompt";
    if (!body.contains(source)) {
        return std::nullopt;
    }
    request.prompt =
        request.is_chat ? join_messages(body[source]) : to_text(body[source]);
    request.model = body["model"].get<std::string>();
    auto const stream = body.find("stream");
    request.is_stream =
        stream != body.end() && stream->is_boolean() && stream->get<bool>();
    request.max_tokens = read_unsigned(body, "max_tokens", request.max_tokens);
    request.max_tokens =
        read_unsigned(body, "max_completion_tokens", request.max_tokens);
    request.id = call.header("caperjunction-request-id");
    request.priority = header_number(call, "caperjunction-priority");
    request.resume_offset = header_number(call, "caperjunction-resume-offset");
    return request;
}

} // namespace caperjunction::stand_ins
