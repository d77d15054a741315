#include "proxy/event_framer.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr std::string_view id_field = "id:";

/// Returns the end of the last complete event of `text`; 0 if there is none.
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
    if (m_partial.empty() && end_of_last_event(bytes) == bytes.size()) {
        record_events(bytes);
        return bytes;
    }
    // What was there ends no event by itself, but may hold the begin of an end.
    constexpr std::size_t max_end_bytes = 4;
    std::size_t const searched_from =
        m_partial.size() - std::min(m_partial.size(), max_end_bytes - 1);
    m_partial.append(bytes);
    std::size_t const end_in_rest =
        end_of_last_event(std::string_view(m_partial).substr(searched_from));
    std::size_t const end = end_in_rest == 0 ? 0 : searched_from + end_in_rest;
    m_complete.assign(m_partial, 0, end);
    m_partial.erase(0, end);
    record_events(m_complete);
    return m_complete;
}

bool event_framer::is_inside_event() const
{
    std::string_view left = m_partial;
    while (!left.empty()) {
        bool const is_comment = left.front() == ':';
        bool const is_blank = left.front() == '\r' || left.front() == '\n';
        if (!is_comment && !is_blank) {
            return true;
        }
        std::size_t const end = left.find('\n');
        left.remove_prefix(end == std::string_view::npos ? left.size()
                                                         : end + 1);
    }
    return false;
}

void event_framer::record_events(std::string_view complete)
{
    while (!complete.empty()) {
        std::size_t const end = complete.find('\n');
        std::string_view line = complete.substr(0, end);
        complete.remove_prefix(end == std::string_view::npos ? complete.size()
                                                             : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            m_events += std::exchange(m_has_field, false) ? 1 : 0;
            continue;
        }
        m_has_field = m_has_field || line.front() != ':';
        if (line.substr(0, id_field.size()) == id_field) {
            line.remove_prefix(id_field.size());
            if (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            m_last_id = line;
        }
    }
}

} // namespace caperjunction::proxy
