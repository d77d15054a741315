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
    auto const found = m_idle.find(upstream.get());
    if (found != m_idle.end()) {
        auto& connections = found->second.connections;
        while (!connections.empty()) {
            auto last = std::move(connections.back());
            connections.pop_back();
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
    idle_set& entry = m_idle[upstream.get()];
    entry.upstream = upstream;
    entry.connections.push_back(std::move(connection));
}

void upstream_pool::close_idle()
{
    for (auto item = m_idle.begin(); item != m_idle.end();) {
        auto& connections = item->second.connections;
        bool const is_gone = item->second.upstream->is_retired;
        auto const stale =
            std::partition(connections.begin(),
                           connections.end(),
                           [&](auto const& connection) {
                               return !is_gone && is_usable(*connection);
                           });
        std::for_each(stale, connections.end(), [](auto const& connection) {
            connection->close();
        });
        connections.erase(stale, connections.end());
        item = connections.empty() ? m_idle.erase(item) : std::next(item);
    }
}

} // namespace caperjunction::proxy
