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
        [this](auto const& alternative) {
            on_event(alternative);
        },
        event);
    broadcast_announce();
    m_out = nullptr;
}

// Hosts with equal views of a region choose the same two watchers. While views
// differ there may be more of them, which costs only a few additional calls.
void configuration::set_view(host_view const& view)
{
    std::uint64_t const own = hash_text(m_settings.host, watcher_seed);
    std::size_t higher_ranked = 0;
    for (std::string const& name : view.live(m_settings.region)) {
        bool const ranks_higher = hash_text(name, watcher_seed) > own;
        higher_ranked += name != m_settings.host && ranks_higher ? 1 : 0;
    }
    m_is_watcher = higher_ranked < m_settings.watchers_per_region;
    std::erase_if(m_announced, [&view](auto const& entry) {
        viewed_host const* const host = view.find(entry.first);
        return host == nullptr || host->state == host_state::lost;
    });
}

config_announce configuration::announcement() const
{
    config_announce own;
    for (std::size_t index = 0; index < published_value_count; ++index) {
        own.latest.of[index] = m_slots[index].latest.revision;
        own.in_force.of[index] = m_slots[index].in_force.revision;
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
    } else if (auto const* announced =
                   std::get_if<config_announce>(&event.message)) {
        handle_announce(from, *announced);
    } else if (auto const* fetch = std::get_if<config_fetch>(&event.message)) {
        handle_fetch(from, *fetch);
    } else if (auto const* sent = std::get_if<config_value>(&event.message)) {
        handle_value(from, *sent);
    }
}

void configuration::on_event(value_read const& event)
{
    value_slot& entry = slot(event.value);
    entry.watching = false;
    entry.service_polled = true;
    if (event.body == nullptr || event.revision <= entry.latest.revision) {
        // The service is stale and would answer the next watch immediately too.
        entry.next_watch = m_now + jittered(m_settings.watch_retry);
        return;
    }
    entry.next_watch = m_now;
    checked_value read{event.revision, event.body};
    if (entry.latest.body != nullptr) {
        entry.deltas.append(
            entry.latest.revision,
            {make_delta(*entry.latest.body, *read.body, read.revision)},
            m_settings.delta_memory);
    } else {
        entry.deltas.append(read.revision, {}, m_settings.delta_memory);
    }
    store_candidate(event.value, std::move(read));
}

void configuration::on_event(read_ended const& event)
{
    value_slot& entry = slot(event.value);
    entry.watching = false;
    entry.service_polled = true;
    entry.next_watch =
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
    value_slot const& entry = slot(fetch.value);
    bool const wants_in_force = fetch.wanted == entry.in_force.revision;
    checked_value const& sent = wants_in_force ? entry.in_force : entry.latest;
    if (sent.body == nullptr || sent.revision < fetch.wanted) {
        return;
    }
    config_value answer;
    answer.value = fetch.value;
    answer.revision = sent.revision;
    answer.hash = hash_text(*sent.body);
    auto deltas =
        m_settings.use_deltas && sent.revision == entry.latest.revision
            ? entry.deltas.since(fetch.held, sent.body->size())
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
    value_slot& entry = slot(message.value);
    if (entry.fetching_from == from) {
        entry.fetching_from.clear();
    }
    checked_value rebuilt;
    if (message.revision > entry.in_force.revision
        && message.revision != entry.latest.revision
        && rebuild(message.value, message, rebuilt)) {
        if (rebuilt.revision > entry.latest.revision) {
            record_deltas(entry, message);
        }
        store_candidate(message.value, std::move(rebuilt));
    }
    fetch_missing(message.value);
}

// A body that doesn't match its hash would be in force on this host only. It
// is requested again in full.
bool configuration::rebuild(published_value value,
                            config_value const& message,
                            checked_value& rebuilt)
{
    value_slot& entry = slot(value);
    rebuilt.revision = message.revision;
    rebuilt.body = message.body;
    if (message.base != 0) {
        if (message.base != entry.latest.revision) {
            return false;
        }
        auto body = std::make_shared<std::string>(*entry.latest.body);
        if (!apply_deltas(message.deltas, *body)) {
            entry.fetch_complete = true;
            return false;
        }
        rebuilt.body = std::move(body);
    }
    bool const is_valid =
        rebuilt.body != nullptr
        && rebuilt.body->size() <= model::limits::max_list_bytes
        && hash_text(*rebuilt.body) == message.hash;
    entry.fetch_complete = !is_valid;
    return is_valid;
}

// Stores received deltas unchanged, one per revision, so that a peer that holds
// any of these revisions can be served by deltas too.
void configuration::record_deltas(value_slot& entry,
                                  config_value const& message)
{
    if (message.base != 0) {
        entry.deltas.append(
            message.base, message.deltas, m_settings.delta_memory);
    } else if (entry.latest.body != nullptr) {
        auto change =
            make_delta(*entry.latest.body, *message.body, message.revision);
        entry.deltas.append(entry.latest.revision,
                            {std::move(change)},
                            m_settings.delta_memory);
    } else {
        entry.deltas.append(message.revision, {}, m_settings.delta_memory);
    }
}

void configuration::store_candidate(published_value value,
                                    checked_value candidate)
{
    value_slot& entry = slot(value);
    if (candidate.revision > entry.latest.revision) {
        entry.latest = std::move(candidate);
    } else {
        entry.fallback = std::move(candidate);
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
