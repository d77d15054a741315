#include "program/routed_host.hpp"

#include "routing/watch_pace.hpp"
#include "runtime/log_line.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace caperjunction::program {
namespace {

/// The host's own reader gets a change within milliseconds; a change that
/// another host has had for so long will not come that way.
constexpr model::milliseconds own_reading_lag{500};
/// The one that speaks for a data centre brings a change into it, and the
/// others take it from there; when it doesn't, they go far themselves.
constexpr model::milliseconds speaker_lag{500};
/// A host that starts reads the store itself, in tens of milliseconds where
/// that is near. When the store is away, peers are asked so much later.
constexpr model::milliseconds first_reading_lag{200};
constexpr model::milliseconds ask_period{250};
/// What hosts of a data centre give each other together: eight links of 10
/// Mbit/s, the narrowest that are met.
constexpr double spread_bytes_a_second = 8e6;
/// A change waits no longer, however much came before it.
constexpr model::milliseconds longest_rest{800};
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
    if (m_loop.now() < m_ask_again_at) {
        return;
    }
    auto const newer =
        m_context.peers.newer_than(m_context.revision, m_random());
    if (newer.at == nullptr || m_fetcher.is_asking()) {
        m_lagging_since.reset();
        return;
    }
    auto const now = m_loop.now();
    if (!m_lagging_since) {
        m_lagging_since = now;
    }
    if (now - *m_lagging_since >= patience_with(newer)) {
        m_lagging_since = now;
        m_fetcher.ask(*newer.at, m_context.revision);
    }
}

void routed_host::take_list(proxy::item_list const& list)
{
    std::uint64_t const before = m_context.revision;
    m_beliefs.merge(list);
    tell_of_change(before);
    rest_from_asking();
    if (m_context.table) {
        note_read();
    }
}

// All hosts nearby need the same list, which a few of them have on links that
// may be narrow. Asked for again at once while thousands of entries come in
// a row, these would be full with parts of lists that time out.
void routed_host::rest_from_asking()
{
    double const bytes = static_cast<double>(m_fetcher.last_size())
                         * static_cast<double>(m_context.peers.nearby());
    auto const pause = std::chrono::duration_cast<model::milliseconds>(
        model::seconds(bytes / spread_bytes_a_second));
    m_ask_again_at = m_loop.now() + std::min(pause, longest_rest);
}

model::milliseconds
routed_host::patience_with(routing::peer_table::source const& newer) const
{
    if (!m_context.table) {
        return first_reading_lag;
    }
    if (m_context.peers.is_reader()) {
        return own_reading_lag;
    }
    bool const may_wait = !newer.is_near && !m_context.peers.speaks();
    return may_wait ? speaker_lag : model::milliseconds{0};
}

// Those that wait for this host to bring changes into the data centre.
void routed_host::tell_of_change(std::uint64_t before)
{
    bool const is_waited_for =
        m_context.peers.is_reader() || m_context.peers.speaks();
    if (m_peers && is_waited_for && m_context.revision != before) {
        m_peers->tell_of_change();
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
        reader->skip_to(m_context.revision);
        reader->keep_watching(is_reader);
        if (hears_too_little) {
            reader->look_once();
        }
    }
    ask_peers();
}

} // namespace caperjunction::program
