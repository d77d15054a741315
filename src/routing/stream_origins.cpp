#include "routing/stream_origins.hpp"

namespace caperjunction::routing {

void stream_origins::record(stream_origin const& begun, model::time_point now)
{
    auto const [found, is_new] =
        m_streams.try_emplace(begun.stream, entry{begun.began_at, now});
    if (!is_new && found->second.began_at != begun.began_at) {
        found->second.began_at.reset();
    }
    found->second.recorded_at = now;
    m_order.push_back({begun.stream, now});
    while (m_order.size() > m_max_count) {
        std::size_t const before = m_streams.size();
        drop_oldest();
        m_evicted += before - m_streams.size();
    }
}

void stream_origins::record_untold(stream_origin const& begun,
                                   model::time_point now)
{
    m_untold[begun.stream] = begun.began_at;
    record(begun, now);
}

std::optional<software> stream_origins::find(std::uint64_t stream) const
{
    auto const found = m_streams.find(stream);
    return found == m_streams.end() ? std::nullopt : found->second.began_at;
}

std::vector<stream_origin> stream_origins::take_untold(std::uint64_t service)
{
    std::vector<stream_origin> list;
    std::erase_if(m_untold, [&](auto const& item) {
        if (item.second.service != service) {
            return false;
        }
        list.push_back({item.first, item.second});
        return true;
    });
    return list;
}

std::vector<stream_origin> stream_origins::all() const
{
    std::vector<stream_origin> list;
    for (auto const& [stream, item] : m_streams) {
        if (item.began_at) {
            list.push_back({stream, *item.began_at});
        }
    }
    return list;
}

void stream_origins::expire(model::milliseconds window, model::time_point now)
{
    while (!m_order.empty() && now - m_order.front().recorded_at > window) {
        drop_oldest();
    }
}

void stream_origins::drop_oldest()
{
    dated_stream const oldest = m_order.front();
    m_order.pop_front();
    auto const found = m_streams.find(oldest.stream);
    if (found != m_streams.end()
        && found->second.recorded_at == oldest.recorded_at) {
        m_untold.erase(oldest.stream);
        m_streams.erase(found);
    }
}

} // namespace caperjunction::routing
