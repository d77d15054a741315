#include "proxy/request_metadata.hpp"

#include <algorithm>
#include <charconv>

namespace caperjunction::proxy {
namespace {

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

/// Removes the text up to the next `separator` from the front of `text`.
std::string_view pop_until(std::string_view& text, char separator)
{
    std::size_t const at = text.find(separator);
    std::string_view const token = text.substr(0, at);
    text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
    return trimmed(token);
}

std::uint32_t tokens_of(std::string_view text)
{
    constexpr std::uint64_t max_tokens = 100'000'000;
    return static_cast<std::uint32_t>(
        std::min(parse_number(text).value_or(0), max_tokens));
}

std::vector<routing::prompt_part> read_parts(std::string_view text)
{
    constexpr int base_16 = 16;
    std::vector<routing::prompt_part> parts;
    while (!text.empty()) {
        std::string_view entry = pop_until(text, ',');
        std::string_view const id = pop_until(entry, ':');
        routing::prompt_part part;
        std::from_chars(id.data(), id.data() + id.size(), part.id, base_16);
        part.tokens = tokens_of(entry);
        parts.push_back(part);
    }
    return parts;
}

std::string_view read_key(std::string_view line, std::string_view scheme)
{
    line = trimmed(line);
    if (line.size() <= scheme.size() || line[scheme.size()] != ' '
        || !header_names_equal(line.substr(0, scheme.size()), scheme)) {
        return {};
    }
    return trimmed(line.substr(scheme.size()));
}

} // namespace

request_metadata read_metadata(message_head const& head,
                               wire_names const& names)
{
    request_metadata metadata;
    metadata.path =
        std::string_view(head.target).substr(0, head.target.find('?'));
    for (header_line const& line : head.headers) {
        if (header_names_equal(line.name, names.request_id)) {
            metadata.id = line.value;
        } else if (header_names_equal(line.name, names.resumed_request_id)) {
            metadata.resumed_id = trimmed(line.value);
        } else if (header_names_equal(line.name, names.last_event_id)) {
            metadata.last_event_id = trimmed(line.value);
        } else if (header_names_equal(line.name, "Host")) {
            metadata.authority = line.value;
        } else if (header_names_equal(line.name, "Authorization")) {
            metadata.key = read_key(line.value, names.key_scheme);
        } else if (header_names_equal(line.name, names.deadline_ms)) {
            if (auto const value = parse_number(line.value)) {
                constexpr std::uint64_t day_ms = 86'400'000;
                metadata.deadline =
                    model::milliseconds(std::min(*value, day_ms));
            }
        } else if (header_names_equal(line.name, names.prompt_parts)) {
            metadata.prompt.parts = read_parts(line.value);
        } else if (header_names_equal(line.name, names.token_counts)) {
            std::string_view remaining = line.value;
            metadata.prompt.tokens = tokens_of(pop_until(remaining, ','));
            metadata.prompt.max_output = tokens_of(trimmed(remaining));
        }
    }
    return metadata;
}

} // namespace caperjunction::proxy
