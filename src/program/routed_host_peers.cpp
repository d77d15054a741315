#include "program/routed_host.hpp"

#include "routing/watch_wait.hpp"
#include "runtime/log_line.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds fetch_period{250};
/// A host that receives no updates polls the store itself after the apply limit
/// divided by this number.
constexpr int polls_per_apply_limit = 2;

} // namespace

void routed_host::serve_peers()
{
    m_peers = std::make_unique<proxy::peer_gossip>(
        m_context, m_settings.relay.peer_listen);
    m_peers->on_peers_changed([this](std::size_t alive) {
        runtime::log_line("peers_changed")
            .field("alive", alive)
            .field("most_seen", m_context.peers.largest_fleet_seen());
    });
    m_peer_server = std::make_unique<net::admin_server>(
        m_loop, m_settings.relay.peer_listen);
    m_lists.serve_on(*m_peer_server);
    m_peers->on_newer_revision([this] {
        m_lists.fetch();
    });
    m_loop.every(fetch_period, [this] {
        update_store_polling();
    });
}

// Only store watchers and aggregators broadcast: the other hosts of the data
// centre depend on them for changes.
void routed_host::broadcast_change(routing::store_revisions const& before)
{
    bool const distributes_changes =
        m_context.peers.is_store_watcher() || m_context.peers.is_aggregator();
    if (m_peers && distributes_changes
        && !m_context.known.has_same_changes_as(before)) {
        m_peers->broadcast_change();
    }
}

model::milliseconds routed_host::watch_wait()
{
    routing::watch_inputs facts;
    facts.key_lifetime = m_settings.relay.key_lifetime;
    facts.apply_limit = m_settings.relay.apply_limit;
    facts.peers = m_context.peers.alive();
    facts.is_shared =
        facts.peers >= routing::peer_table::min_peers_of_large_fleet;
    return routing::watch_wait(
        facts, std::uniform_real_distribution<double>(0.0, 1.0)(m_random));
}

void routed_host::update_store_polling()
{
    bool const is_store_watcher = m_context.peers.is_store_watcher();
    auto const age = m_context.keys.age(m_context.lease_now());
    auto const limit = m_settings.relay.apply_limit / polls_per_apply_limit;
    bool const is_behind = age > limit || m_lists.upstreams_lag() > limit;
    for (auto const& reader : m_readers) {
        reader->set_watch_wait(watch_wait());
        reader->skip_to(m_context.known.all());
        reader->adopt_era(m_context.known.upstreams.era);
        reader->set_watching(is_store_watcher);
        if (is_behind) {
            reader->poll_once();
        }
    }
    m_replica.settle();
    m_lists.fetch();
}

} // namespace caperjunction::program
