#include "net/sse_scanner.hpp"

namespace caperjunction::net {
namespace {

/// Returns the position after the event that starts at `start`; npos if the
/// event is incomplete. Searches in one pass: a separate search for each kind
/// of line break runs to the end of a long read once per event in it.
std::size_t end_of_event(std::string_view text, std::size_t start)
{
    std::size_t line = text.find('\n', start);
    while (line != std::string_view::npos) {
        std::size_t const next = line + 1;
        if (text.compare(next, 1, "\n") == 0) {
            return next + 1;
        }
        if (text.compare(next, 2, "\r\n") == 0) {
            return next + 2;
        }
        line = text.find('\n', next);
    }
    return std::string_view::npos;
}

/// Returns whether the event contains `field` with a non-empty text. Quotes
/// inside a JSON text are escaped, so output cannot imitate a field.
bool has_text(std::string_view event, std::string_view field)
{
    std::size_t const position = event.find(field);
    if (position == std::string_view::npos) {
        return false;
    }
    std::size_t const value = position + field.size();
    std::size_t const quote =
        value < event.size() && event[value] == ' ' ? value + 1 : value;
    return quote + 1 < event.size() && event[quote] == '"'
           && event[quote + 1] != '"';
}

bool carries_output(std::string_view event)
{
    return has_text(event, "\"content\":") || has_text(event, "\"text\":")
           || event.find("\"tool_calls\":") != std::string_view::npos;
}

bool is_done(std::string_view event)
{
    return event.rfind("data: [DONE]", 0) == 0
           || event.rfind("data:[DONE]", 0) == 0;
}

} // namespace

void sse_scanner::handle_event(std::string_view event,
                               std::string& events,
                               sse_scan_result& found)
{
    if (is_done(event)) {
        found.done = true;
        return;
    }
    if (carries_output(event)) {
        ++found.tokens;
    }
    events.append(event);
}

sse_scan_result sse_scanner::feed(std::string_view bytes, std::string& events)
{
    sse_scan_result found;
    // Usually no partial event is left over, and each event is copied once.
    bool const starts_clean = m_partial.empty();
    if (!starts_clean) {
        m_partial.append(bytes);
    }
    std::string_view const text =
        starts_clean ? bytes : std::string_view(m_partial);
    std::size_t start = 0;
    for (std::size_t end = end_of_event(text, start);
         end != std::string_view::npos;
         end = end_of_event(text, start)) {
        handle_event(text.substr(start, end - start), events, found);
        start = end;
    }
    std::string rest(text.substr(start));
    m_partial = std::move(rest);
    found.overlong = m_partial.size() > max_event_bytes;
    return found;
}

} // namespace caperjunction::net
