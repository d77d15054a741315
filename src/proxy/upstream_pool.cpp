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
upstream_pool::acquire(routing::upstream_ptr const& upstream,
                       upstream_path const& path)
{
    if (auto idle = take_idle(upstream, path)) {
        return idle;
    }
    return connect(upstream, path.peer);
}

std::shared_ptr<upstream_connection>
upstream_pool::connect(routing::upstream_ptr const& upstream,
                       std::optional<model::endpoint> const& peer)
{
    ++m_opened;
    if (peer) {
        tunnel_request request;
        request.upstream = upstream->description.id;
        request.started = upstream->description.started;
        return std::make_shared<upstream_connection>(m_loop, *peer, request);
    }
    return std::make_shared<upstream_connection>(m_loop,
                                                 upstream->description.at);
}

std::shared_ptr<upstream_connection>
upstream_pool::take_idle(routing::upstream_ptr const& upstream,
                         upstream_path const& path)
{
    auto const found = m_idle.find(upstream.get());
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& connections = found->second.connections;
    for (std::size_t index = connections.size(); index > 0; --index) {
        auto const at =
            connections.begin() + static_cast<std::ptrdiff_t>(index - 1);
        auto connection = *at;
        if (!is_usable(*connection)) {
            connection->close();
            connections.erase(at);
        } else if (is_allowed(*connection, path)) {
            connections.erase(at);
            return connection;
        }
    }
    return nullptr;
}

bool upstream_pool::has_idle(routing::upstream_state const& upstream) const
{
    auto const found = m_idle.find(&upstream);
    return found != m_idle.end()
           && std::any_of(found->second.connections.begin(),
                          found->second.connections.end(),
                          [this](auto const& connection) {
                              return is_usable(*connection);
                          });
}

bool upstream_pool::is_allowed(upstream_connection const& connection,
                               upstream_path const& path) const
{
    if (!connection.peer()) {
        return path.uses_idle_direct;
    }
    return path.peer && path.allows_peer(*connection.peer());
}

void upstream_pool::probe(
    routing::upstream_ptr const& upstream,
    std::optional<model::endpoint> const& peer,
    model::milliseconds connect_timeout,
    std::function<void(std::optional<answer_fault>)> const& on_result)
{
    auto const connection = connect(upstream, peer);
    auto const* const key = connection.get();
    m_probes.emplace(key, connection);
    answer_hooks hooks;
    hooks.on_connected = [this, key, upstream, on_result] {
        release(upstream, m_probes.extract(key).mapped());
        on_result(std::nullopt);
    };
    hooks.on_fault = [this, key, on_result](answer_fault fault) {
        auto const ended = m_probes.extract(key);
        on_result(fault);
    };
    connection->open(connect_timeout, std::move(hooks));
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

void upstream_pool::close_idle(
    std::function<bool(routing::upstream_state const&,
                       model::endpoint const&)> const& keeps_peer)
{
    for (auto item = m_idle.begin(); item != m_idle.end();) {
        auto& connections = item->second.connections;
        routing::upstream_state const& state = *item->second.upstream;
        auto const stale =
            std::partition(connections.begin(),
                           connections.end(),
                           [&](auto const& connection) {
                               auto const& peer = connection->peer();
                               return !state.is_retired
                                      && is_usable(*connection)
                                      && (!peer || keeps_peer(state, *peer));
                           });
        std::for_each(stale, connections.end(), [](auto const& connection) {
            connection->close();
        });
        connections.erase(stale, connections.end());
        item = connections.empty() ? m_idle.erase(item) : std::next(item);
    }
}

} // namespace caperjunction::proxy
