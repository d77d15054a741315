#include "proxy/event_framer.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr std::string_view id_field = "id:";

/// Where the last whole event of `text` ends; 0 if none is whole.
std::size_t end_of_last_event(std::string_view text)
{
    std::size_t best = 0;
    for (std::string_view const blank : {"\n\n", "\r\n\r\n"}) {
        std::size_t const at = text.rfind(blank);
        if (at != std::string_view::npos && at + blank.size() > best) {
            best = at + blank.size();
        }
    }
    return best;
}

} // namespace

std::string_view event_framer::feed(std::string_view bytes)
{
    if (m_rest.empty() && end_of_last_event(bytes) == bytes.size()) {
        note(bytes);
        return bytes;
    }
    m_rest.append(bytes);
    std::size_t const end = end_of_last_event(m_rest);
    m_whole.assign(m_rest, 0, end);
    m_rest.erase(0, end);
    note(m_whole);
    return m_whole;
}

void event_framer::note(std::string_view whole)
{
    while (!whole.empty()) {
        std::size_t const end = whole.find('\n');
        std::string_view line = whole.substr(0, end);
        whole.remove_prefix(end == std::string_view::npos ? whole.size()
                                                          : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            ++m_events;
        } else if (line.substr(0, id_field.size()) == id_field) {
            line.remove_prefix(id_field.size());
            if (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            m_last_id = line;
        }
    }
}

} // namespace caperjunction::proxy
