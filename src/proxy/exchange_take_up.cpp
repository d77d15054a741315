#include "proxy/exchange.hpp"

#include "proxy/stream_software.hpp"

#include <algorithm>

namespace caperjunction::proxy {
namespace {

/// Longer than most watches of the store, each of which confirms the list.
constexpr model::milliseconds max_list_wait{1'500};
constexpr model::milliseconds list_poll{100};

} // namespace

bool exchange::takes_up_stream() const
{
    bool const names_stream =
        !m_metadata.resumed_id.empty() || !m_metadata.last_event_id.empty();
    return names_stream && m_route->kind == routing::request_kind::stream;
}

void exchange::find_software()
{
    origin_question asked;
    if (!m_metadata.resumed_id.empty()) {
        asked.stream = routing::stream_key(m_metadata.resumed_id);
    }
    if (serves_one_version_each(m_context, *m_route)) {
        asked.service = routing::software_service_key(m_service);
    }
    auto const weak = weak_from_this();
    proxy::find_software(
        m_context, asked, [weak](std::optional<routing::software> found) {
            auto const self = weak.lock();
            if (self && !self->m_ended) {
                self->take_up(found);
            }
        });
}

void exchange::take_up(std::optional<routing::software> const& found)
{
    if (!found && waits_for_list()) {
        run_later(list_poll, [this] {
            find_software();
        });
        return;
    }
    if (!found) {
        refuse(reason_code::version_unknown);
        return;
    }
    auto const& split = m_route->split;
    auto const began_at =
        std::find_if(split.begin(), split.end(), [&found](auto const& item) {
            return routing::software_service_key(item.service)
                   == found->service;
        });
    if (began_at == split.end()) {
        refuse(reason_code::version_gone);
        return;
    }
    m_service = began_at->service;
    m_software = found;
    place();
}

// A list that the store confirms from now on shows whether another version has
// served.
bool exchange::waits_for_list()
{
    auto const now = m_context.loop.now();
    m_waits_for_list_since = m_waits_for_list_since.value_or(now);
    return !has_recent_list(m_context) && !m_context.is_stopping
           && now - *m_waits_for_list_since < max_list_wait
           && time_left() > max_list_wait;
}

// Whether the caller has events, of this answer or of an earlier attempt.
bool exchange::continues_stream() const
{
    return m_events > 0 || takes_up_stream();
}

// Before the first event of an attempt: an upstream may have started again,
// with other software, since the request was sent to it.
bool exchange::has_expected_software() const
{
    return !continues_stream() || is_software_certain(m_context, *m_upstream);
}

// An entry that has changed while the request ran may describe the start that
// it ran at.
bool exchange::knows_software() const
{
    auto const listed = m_context.directory.find(m_upstream->description.id);
    return m_software && (!listed || listed->software == m_upstream->software);
}

void exchange::record_first_event()
{
    m_first_version = m_upstream->description.software_version;
    if (!is_software_certain(m_context, *m_upstream)) {
        m_software.reset();
        return;
    }
    m_software = m_upstream->software;
    if (!m_route->resumable) {
        return;
    }
    std::string const& began_as =
        m_metadata.resumed_id.empty() ? m_metadata.id : m_metadata.resumed_id;
    record_begun(m_context,
                 {routing::stream_key(began_as), *m_software},
                 m_route->split.size() > 1);
}

} // namespace caperjunction::proxy
