#include "fleet/configuration.hpp"

#include "fleet/hashing.hpp"
#include "model/limits.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace caperjunction::fleet {
namespace {

constexpr std::uint64_t watcher_seed = 0x77617463;

constexpr std::array<published_value, published_value_count> all_values{
    published_value::plans,
    published_value::entitlements,
    published_value::hosts,
    published_value::upstreams,
};

} // namespace

configuration::configuration(configuration_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

void configuration::handle(agent_event const& event,
                           model::time_point now,
                           outputs& out)
{
    m_now = now;
    m_out = &out;
    if (!m_started) {
        m_started = true;
        m_last_announce = now;
        m_start_deadline = now + m_settings.startup_timeout;
        m_next_direct_read = now;
    }
    std::visit(
        [this](auto const& told) {
            on_event(told);
        },
        event);
    broadcast_announce();
    m_out = nullptr;
}

// The same two hosts are found by all that see the same region; where views
// differ there are more watchers for a while, which costs some calls only.
void configuration::set_view(host_view const& view)
{
    std::uint64_t const own = hash_text(m_settings.host, watcher_seed);
    std::size_t before = 0;
    for (std::string const& name : view.live(m_settings.region)) {
        bool const higher = hash_text(name, watcher_seed) > own;
        before += name != m_settings.host && higher ? 1 : 0;
    }
    m_watcher = before < m_settings.watchers_per_region;
    std::erase_if(m_announced, [&view](auto const& entry) {
        viewed_host const* const host = view.find(entry.first);
        return host == nullptr || host->state == host_state::lost;
    });
}

config_announce configuration::announcement() const
{
    config_announce own;
    for (std::size_t place = 0; place < published_value_count; ++place) {
        own.latest.of[place] = m_slots[place].latest.revision;
        own.in_force.of[place] = m_slots[place].in_force.revision;
    }
    return own;
}

void configuration::on_event(hosts_listed const& event)
{
    m_listed_revision = std::max(m_listed_revision, event.hosts.revision);
}

void configuration::on_event(message_received const& event)
{
    std::string const& from = event.from;
    if (auto const* beat = std::get_if<heartbeat>(&event.message)) {
        handle_announce(from, beat->configuration);
    } else if (auto const* reply = std::get_if<probe_reply>(&event.message)) {
        handle_announce(from, reply->configuration);
    } else if (auto const* told =
                   std::get_if<config_announce>(&event.message)) {
        handle_announce(from, *told);
    } else if (auto const* asked = std::get_if<config_fetch>(&event.message)) {
        handle_fetch(from, *asked);
    } else if (auto const* sent = std::get_if<config_value>(&event.message)) {
        handle_value(from, *sent);
    }
}

void configuration::on_event(value_read const& event)
{
    value_slot& kept = slot(event.value);
    kept.watching = false;
    kept.service_polled = true;
    if (event.body == nullptr || event.revision <= kept.latest.revision) {
        // The service is stale: it would answer the next watch at once too.
        kept.next_watch = m_now + jittered(m_settings.watch_retry);
        return;
    }
    kept.next_watch = m_now;
    checked_value read{event.revision, event.body};
    if (kept.latest.body != nullptr) {
        kept.deltas.append(
            kept.latest.revision,
            {make_delta(*kept.latest.body, *read.body, read.revision)},
            m_settings.delta_memory);
    } else {
        kept.deltas.append(read.revision, {}, m_settings.delta_memory);
    }
    store_candidate(event.value, std::move(read));
}

void configuration::on_event(read_ended const& event)
{
    value_slot& kept = slot(event.value);
    kept.watching = false;
    kept.service_polled = true;
    kept.next_watch =
        event.failed ? m_now + jittered(m_settings.watch_retry) : m_now;
}

void configuration::on_event(agent_tick const&)
{
    poll_service();
    expire_fetches();
    fetch_missing();
    report_faults();
    check_ready();
}

void configuration::handle_announce(std::string const& from,
                                    config_announce const& announced)
{
    m_last_announce = m_now;
    m_announced[from] = announced;
    fetch_missing();
}

void configuration::handle_fetch(std::string const& from,
                                 config_fetch const& fetch)
{
    value_slot const& kept = slot(fetch.value);
    bool const last_good = fetch.wanted == kept.in_force.revision;
    checked_value const& sent = last_good ? kept.in_force : kept.latest;
    if (sent.body == nullptr || sent.revision < fetch.wanted) {
        return;
    }
    config_value answer;
    answer.value = fetch.value;
    answer.revision = sent.revision;
    answer.hash = hash_text(*sent.body);
    auto deltas = m_settings.use_deltas && sent.revision == kept.latest.revision
                      ? kept.deltas.since(fetch.held, sent.body->size())
                      : std::nullopt;
    if (deltas) {
        answer.base = fetch.held;
        answer.deltas = std::move(*deltas);
    } else {
        answer.body = sent.body;
    }
    m_out->push_back(send_message{from, std::move(answer)});
}

void configuration::handle_value(std::string const& from,
                                 config_value const& message)
{
    value_slot& kept = slot(message.value);
    if (kept.fetching_from == from) {
        kept.fetching_from.clear();
    }
    checked_value rebuilt;
    if (message.revision > kept.in_force.revision
        && message.revision != kept.latest.revision
        && rebuild(message.value, message, rebuilt)) {
        if (rebuilt.revision > kept.latest.revision) {
            record_deltas(kept, message);
        }
        store_candidate(message.value, std::move(rebuilt));
    }
    fetch_missing(message.value);
}

// A body that doesn't have the hash it was sent with would be in force here
// and nowhere else; it is asked for again as a whole.
bool configuration::rebuild(published_value value,
                            config_value const& message,
                            checked_value& rebuilt)
{
    value_slot& kept = slot(value);
    rebuilt.revision = message.revision;
    rebuilt.body = message.body;
    if (message.base != 0) {
        if (message.base != kept.latest.revision) {
            return false;
        }
        auto body = std::make_shared<std::string>(*kept.latest.body);
        if (!apply_deltas(message.deltas, *body)) {
            kept.fetch_complete = true;
            return false;
        }
        rebuilt.body = std::move(body);
    }
    bool const whole = rebuilt.body != nullptr
                       && rebuilt.body->size() <= model::limits::max_list_bytes
                       && hash_text(*rebuilt.body) == message.hash;
    kept.fetch_complete = !whole;
    return whole;
}

// Splices are kept as they came, one for each revision, so that a peer that
// holds any of these revisions can be served by splices too.
void configuration::record_deltas(value_slot& kept, config_value const& message)
{
    if (message.base != 0) {
        kept.deltas.append(
            message.base, message.deltas, m_settings.delta_memory);
    } else if (kept.latest.body != nullptr) {
        auto change =
            make_delta(*kept.latest.body, *message.body, message.revision);
        kept.deltas.append(
            kept.latest.revision, {std::move(change)}, m_settings.delta_memory);
    } else {
        kept.deltas.append(message.revision, {}, m_settings.delta_memory);
    }
}

void configuration::store_candidate(published_value value,
                                    checked_value offered)
{
    value_slot& kept = slot(value);
    if (offered.revision > kept.latest.revision) {
        kept.latest = std::move(offered);
    } else {
        kept.fallback = std::move(offered);
    }
    apply(value);
}

void configuration::fetch_missing()
{
    for (published_value const value : all_values) {
        fetch_missing(value);
    }
}

void configuration::watch_all(model::milliseconds wait)
{
    for (published_value const value : all_values) {
        watch(value, wait);
    }
}

} // namespace caperjunction::fleet
