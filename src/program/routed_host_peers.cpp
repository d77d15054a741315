#include "program/routed_host.hpp"

#include "routing/watch_pace.hpp"
#include "runtime/log_line.hpp"

#include <random>

namespace caperjunction::program {
namespace {

/// The host's own reader gets a change within milliseconds; a change that
/// another host has had for so long will not come that way.
constexpr model::milliseconds own_reading_lag{500};
constexpr model::milliseconds ask_period{250};
/// A host that hears nothing new looks at the store itself after this part
/// of the time in which a change must be in force.
constexpr int looks_in_time = 2;

} // namespace

void routed_host::serve_peers()
{
    m_peers = std::make_unique<proxy::peer_link>(m_context,
                                                 m_settings.relay.peer_listen);
    m_peers->on_peers_changed([this](std::size_t alive) {
        runtime::log_line("peers_changed")
            .field("alive", alive)
            .field("most_seen", m_context.peers.most_seen());
    });
    m_peer_server = std::make_unique<net::admin_server>(
        m_loop, m_settings.relay.peer_listen);
    m_peer_server->serve(items_path, [this](std::string const& since) {
        auto const revision = proxy::parse_number(since).value_or(0);
        return net::admin_answer{
            200,
            "application/octet-stream",
            proxy::encode_items(m_beliefs.changes(revision))};
    });
    m_peers->on_newer([this] {
        ask_peers();
    });
    m_loop.every(ask_period, [this] {
        share_reading();
    });
}

// The store may refuse this host alone, or be away while it starts; in a
// large fleet a few hosts watch it for all. Others then have what this one
// lacks.
void routed_host::ask_peers()
{
    model::endpoint const* const newer =
        m_context.peers.newer_than(m_context.revision);
    if (newer == nullptr || m_fetcher.is_asking()) {
        m_lagging_since.reset();
        return;
    }
    auto const now = m_loop.now();
    if (!m_lagging_since) {
        m_lagging_since = now;
    }
    bool const reads_itself = m_context.peers.is_reader() && m_context.table;
    if (!reads_itself || now - *m_lagging_since >= own_reading_lag) {
        m_lagging_since = now;
        m_fetcher.ask(*newer, m_context.revision);
    }
}

model::milliseconds routed_host::watch_wait()
{
    routing::watch_facts facts;
    facts.key_lifetime = m_settings.relay.key_lifetime;
    facts.apply_limit = m_settings.relay.apply_limit;
    facts.peers = m_context.peers.alive();
    facts.is_shared = facts.peers >= routing::peer_table::least_to_share;
    return routing::watch_wait(
        facts, std::uniform_real_distribution<double>(0.0, 1.0)(m_random));
}

void routed_host::share_reading()
{
    bool const is_reader = m_context.peers.is_reader();
    auto const age = m_context.keys.age(m_context.boot_now());
    bool const hears_too_little =
        age > m_settings.relay.apply_limit / looks_in_time;
    for (auto const& reader : m_readers) {
        reader->wait(watch_wait());
        reader->keep_watching(is_reader);
        if (hears_too_little) {
            reader->look_once();
        }
    }
    ask_peers();
}

} // namespace caperjunction::program
