#include "proxy/upstream_pool.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {

upstream_pool::upstream_pool(runtime::event_loop& loop)
    : m_loop(loop)
{
}

bool upstream_pool::is_usable(upstream_connection const& connection) const
{
    return connection.is_open() && connection.is_available()
           && m_loop.now() - connection.idle_since() < connection.keep_alive();
}

std::shared_ptr<upstream_connection>
upstream_pool::acquire(routing::upstream_ptr const& upstream)
{
    auto const found = m_kept.find(upstream.get());
    if (found != m_kept.end()) {
        auto& free = found->second.free;
        while (!free.empty()) {
            auto last = std::move(free.back());
            free.pop_back();
            if (is_usable(*last)) {
                return last;
            }
            last->close();
        }
    }
    ++m_opened;
    return std::make_shared<upstream_connection>(m_loop,
                                                 upstream->description.at);
}

void upstream_pool::release(routing::upstream_ptr const& upstream,
                            std::shared_ptr<upstream_connection> connection)
{
    if (!is_usable(*connection) || upstream->is_retired) {
        connection->close();
        return;
    }
    kept& place = m_kept[upstream.get()];
    place.upstream = upstream;
    place.free.push_back(std::move(connection));
}

void upstream_pool::close_idle()
{
    for (auto item = m_kept.begin(); item != m_kept.end();) {
        auto& free = item->second.free;
        bool const is_gone = item->second.upstream->is_retired;
        auto const stale = std::partition(
            free.begin(), free.end(), [&](auto const& connection) {
                return !is_gone && is_usable(*connection);
            });
        std::for_each(stale, free.end(), [](auto const& connection) {
            connection->close();
        });
        free.erase(stale, free.end());
        item = free.empty() ? m_kept.erase(item) : std::next(item);
    }
}

} // namespace caperjunction::proxy
