#include "net/caller_request.hpp"

#include "model/error.hpp"
#include "net/prefix_blocks.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace caperjunction::net {
namespace {

using json = nlohmann::json;

// Client libraries never nest deeper, and freeing nested values costs stack.
constexpr int max_depth = 64;
// Typical ratio for English text; used for predictions only.
constexpr std::size_t characters_per_token = 4;

[[noreturn]] void refuse(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_request, message, remedy);
}

json parse_object(std::string_view body)
{
    bool too_deep = false;
    auto const guard = [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    json parsed;
    try {
        parsed = json::parse(body, guard);
    } catch (json::exception const&) {
        refuse("the body is not JSON", "send one JSON object in UTF-8");
    }
    if (too_deep || !parsed.is_object()) {
        refuse("the body is not a JSON object of reasonable depth",
               "send one JSON object, nested at most 64 deep");
    }
    return parsed;
}

bool read_flag(json const& body, char const* field)
{
    auto const found = body.find(field);
    if (found == body.end() || found->is_null()) {
        return false;
    }
    if (!found->is_boolean()) {
        refuse(std::string(field) + " is neither true nor false",
               "send true or false, or leave it out");
    }
    return found->get<bool>();
}

std::uint32_t read_bound(json const& body, char const* field)
{
    auto const found = body.find(field);
    if (found == body.end() || found->is_null()) {
        return 0;
    }
    bool const fits = found->is_number_unsigned()
                      && found->get<std::uint64_t>() > 0
                      && found->get<std::uint64_t>()
                             <= std::numeric_limits<std::uint32_t>::max();
    if (!fits) {
        refuse(std::string(field) + " is not a positive whole number",
               "send a whole number of at least 1, or leave it out");
    }
    return found->get<std::uint32_t>();
}

std::uint32_t read_output_bound(json const& body, std::uint32_t class_bound)
{
    std::uint32_t requested = read_bound(body, "max_completion_tokens");
    if (requested == 0) {
        requested = read_bound(body, "max_tokens");
    }
    return requested == 0 ? class_bound : std::min(requested, class_bound);
}

void append_content(std::string& text, json const& content)
{
    if (content.is_string()) {
        text += content.get<std::string>();
        return;
    }
    if (!content.is_array()) {
        return;
    }
    for (json const& part : content) {
        if (part.is_string()) {
            text += part.get<std::string>();
        } else if (part.is_object() && part.contains("text")) {
            append_content(text, part["text"]);
        }
    }
}

std::string chat_prompt(json const& body)
{
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        refuse("messages is missing or empty",
               "send an array of at least one message");
    }
    std::string text;
    for (json const& message : *messages) {
        if (!message.is_object() || !message.contains("role")
            || !message["role"].is_string()) {
            refuse("a message has no role",
                   "give each message a role and a content");
        }
        text += message["role"].get<std::string>();
        text.push_back('\n');
        append_content(text, message.value("content", json()));
        text.push_back('\n');
    }
    return text;
}

std::string completion_prompt(json const& body)
{
    auto const prompt = body.find("prompt");
    if (prompt == body.end()) {
        refuse("prompt is missing", "send a prompt as a string");
    }
    std::string text;
    append_content(text, *prompt);
    return text;
}

std::string make_upstream_body(json body, caller_request const& request)
{
    bool const uses_new_name = body.contains("max_completion_tokens");
    body[uses_new_name ? "max_completion_tokens" : "max_tokens"] =
        request.max_output_tokens;
    if (!request.stream) {
        body["stream"] = true;
        body["stream_options"] = {{"include_usage", true}};
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

caller_request parse_caller_request(std::string_view body,
                                    text_interface interface,
                                    std::uint32_t output_bound)
{
    json const parsed = parse_object(body);
    auto const model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        refuse("model is missing", "name a model; /v1/models lists them");
    }
    caller_request request;
    request.model = model->get<std::string>();
    request.stream = read_flag(parsed, "stream");
    request.max_output_tokens = read_output_bound(parsed, output_bound);

    std::string const prompt = interface == text_interface::chat
                                   ? chat_prompt(parsed)
                                   : completion_prompt(parsed);
    request.prompt_tokens =
        static_cast<std::uint32_t>(prompt.size() / characters_per_token + 1);
    request.prefix_blocks = prefix_blocks(request.model, prompt);
    request.fingerprint = XXH3_64bits(body.data(), body.size());
    request.upstream_body = make_upstream_body(parsed, request);
    return request;
}

} // namespace caperjunction::net
