#include "proxy/message_text.hpp"

#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace caperjunction::proxy {
namespace {

void add_line(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name);
    text.append(": ");
    text.append(value);
    text.append("\r\n");
}

/// Whether a header of the caller is not forwarded to upstreams unchanged.
bool is_withheld(std::string_view name, wire_names const& names)
{
    bool const is_own =
        std::any_of(names.host_only.begin(),
                    names.host_only.end(),
                    [&](auto const& reserved) {
                        return header_names_equal(name, reserved);
                    });
    return is_own || is_hop_by_hop(name)
           || header_names_equal(name, "Authorization")
           || header_names_equal(name, "Expect")
           || header_names_equal(name, names.deadline_ms);
}

std::string_view phrase_of(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 504:
        return "Gateway Timeout";
    default:
        return "Service Unavailable";
    }
}

std::string seconds_text(model::milliseconds time)
{
    return fmt::format("{:.3f}", model::seconds(time).count());
}

} // namespace

std::string request_text(message_head const& head,
                         std::string_view body,
                         wire_names const& names,
                         upstream_request const& added)
{
    std::string text;
    text.reserve(body.size() + 1'024);
    fmt::format_to(std::back_inserter(text),
                   "{} {} HTTP/1.1\r\n",
                   head.method,
                   head.target);
    for (header_line const& line : head.headers) {
        bool const is_replaced =
            !added.last_event_id.empty()
            && header_names_equal(line.name, names.last_event_id);
        if (!is_replaced && !is_withheld(line.name, names)) {
            add_line(text, line.name, line.value);
        }
    }
    add_line(text, names.expected_instance, added.instance);
    add_line(
        text, names.deadline_ms, fmt::format("{}", added.time_left.count()));
    add_line(text, names.priority, fmt::format("{}", added.rank));
    if (!added.team.empty()) {
        add_line(text, names.team, added.team);
    }
    if (!added.last_event_id.empty()) {
        add_line(text, names.last_event_id, added.last_event_id);
    }
    if (!body.empty() || head.length || head.chunked) {
        add_line(text, "Content-Length", fmt::format("{}", body.size()));
    }
    text.append("\r\n");
    text.append(body);
    return text;
}

std::string answer_head_text(message_head const& head,
                             int minor_version,
                             answer_framing const& framing)
{
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    for (header_line const& line : head.headers) {
        if (!is_hop_by_hop(line.name)) {
            add_line(text, line.name, line.value);
        }
    }
    if (framing.retry_after && head.find("Retry-After") == nullptr) {
        add_line(text, "Retry-After", seconds_text(*framing.retry_after));
    }
    if (framing.length) {
        add_line(text, "Content-Length", fmt::format("{}", *framing.length));
    } else if (framing.has_body && minor_version > 0) {
        add_line(text, "Transfer-Encoding", "chunked");
    }
    if (!framing.keep_alive) {
        add_line(text, "Connection", "close");
    }
    text.append("\r\n");
    return text;
}

std::string refusal_text(routing::refusal const& refused,
                         std::string_view request_id,
                         wire_names const& names,
                         bool keep_alive,
                         bool is_head_request)
{
    nlohmann::json const error{
        {"error",
         {{"reason", routing::to_string(refused.reason)},
          {"remedy", routing::remedy_of(refused.reason)}}}};
    std::string const body = error.dump();
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\n", refused.status, phrase_of(refused.status));
    if (!request_id.empty()) {
        add_line(text, names.request_id, request_id);
    }
    if (refused.retry_after) {
        add_line(text, "Retry-After", seconds_text(*refused.retry_after));
    }
    add_line(text, "Content-Type", "application/json");
    add_line(text, "Content-Length", fmt::format("{}", body.size()));
    if (!keep_alive) {
        add_line(text, "Connection", "close");
    }
    text.append("\r\n");
    if (!is_head_request) {
        text.append(body);
    }
    return text;
}

std::string chunk_text(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace caperjunction::proxy
