#include "program/store_replica.hpp"

#include "runtime/log_line.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caperjunction::program {
store_replica::store_replica(proxy::relay_context& context,
                             proxy::store_codec const& codec)
    : m_context(context)
    , m_codec(codec)
{
}

void store_replica::enter_era(std::uint64_t era)
{
    if (era <= m_era) {
        return;
    }
    auto const before = std::exchange(m_era, era);
    if (!m_context.known.upstreams.is_set()) {
        return;
    }
    runtime::log_line("store_era_begun")
        .field("era", era)
        .field("before", before)
        .field("upstreams_revision", m_context.known.upstreams.revision)
        .field("config_version", config_version());
    auto const now = m_context.loop.now();
    m_context.directory.store_regained(now);
    m_settled_at = now + routing::upstream_directory::settle_time;
    // A host that was out of touch before may lack a configuration that the
    // copy lacks as well, until it is written again.
    auto const lease_now = m_context.lease_now();
    if (!m_context.keys.is_valid(lease_now)) {
        m_context.keys.ignore_before(
            lease_now + routing::upstream_directory::settle_time);
    }
}

void store_replica::apply(proxy::store_item const& item)
{
    if (m_codec.is_configuration(item.key)) {
        if (!item.removed) {
            decode(item);
        }
        return;
    }
    if (has_newer(item)) {
        return;
    }
    if (item.removed) {
        m_items.erase(item.key);
        m_removals.record(item.key, item.at());
        decode(item);
        return;
    }
    auto const removed_at = m_removals.last_of(item.key);
    auto const [stored, is_new] = m_items.try_emplace(item.key);
    // Its removal is among what the copy lacks: the entry may be older.
    bool const may_be_outdated =
        is_new && removed_at.is_set() && removed_at.era < item.era;
    bool const has_changed = !is_new && stored->second.era == item.era;
    stored->second = item;
    decode(item);
    if (may_be_outdated) {
        m_context.directory.withhold(m_codec.upstream_id(item.key),
                                     m_context.loop.now());
    } else if (has_changed) {
        m_context.directory.release(m_codec.upstream_id(item.key));
    }
}

bool store_replica::has_newer(proxy::store_item const& item) const
{
    auto const stored = m_items.find(item.key);
    if (stored != m_items.end()) {
        return stored->second.at() >= item.at();
    }
    return m_removals.last_of(item.key) > item.at();
}

void store_replica::commit(routing::store_position at)
{
    commit_upstreams(at);
    m_context.known.checked = std::max(m_context.known.checked, at);
}

void store_replica::commit_upstreams(routing::store_position at)
{
    routing::store_position& known = m_context.known.upstreams;
    known = std::max(known, at);
}

void store_replica::settle()
{
    if (m_context.loop.now() < m_settled_at) {
        return;
    }
    for (std::string const& key : std::exchange(m_unsettled, {})) {
        if (m_items.count(key) == 0) {
            decode({key, "", 0, true});
        }
    }
}

void store_replica::retain_only(std::vector<std::string> const& keys,
                                routing::store_position at)
{
    std::set<std::string> const present(keys.begin(), keys.end());
    routing::store_position const before = m_context.known.upstreams;
    std::vector<std::string> ids;
    ids.reserve(keys.size());
    for (std::string const& key : keys) {
        ids.push_back(m_codec.upstream_id(key));
    }
    std::vector<std::string> missing;
    for (auto const& [key, item] : m_items) {
        if (present.count(key) > 0) {
            continue;
        }
        if (item.at() > at) {
            ids.push_back(m_codec.upstream_id(key));
        } else {
            missing.push_back(key);
        }
    }
    m_removals.skip(before, at);
    for (std::string const& key : missing) {
        m_items.erase(key);
        m_removals.record(key, std::max(before, at));
        // The directory itself finds out which upstreams are missing.
        if (m_codec.upstream_id(key).empty()) {
            m_unsettled.push_back(key);
        }
    }
    settle();
    m_context.directory.retain_only(ids, m_context.loop.now());
    commit_upstreams(at);
}

void store_replica::merge(proxy::item_list const& list)
{
    routing::store_position const before = m_context.known.upstreams;
    if (list.revision <= before || list.since > before) {
        return;
    }
    enter_era(list.revision.era);
    std::vector<std::string> keys;
    keys.reserve(list.items.size());
    for (proxy::store_item const& item : list.items) {
        keys.push_back(item.key);
        apply(item);
    }
    if (!list.since.is_set()) {
        retain_only(keys, list.revision);
    } else {
        m_removals.skip(before,
                        std::min(list.removals_known_since, list.revision));
        commit_upstreams(list.revision);
    }
    runtime::log_line("peer_items_merged")
        .field("before", before.revision)
        .field("since", list.since.revision)
        .field("revision", list.revision.revision)
        .field("era", list.revision.era)
        .field("items", list.items.size());
}

proxy::item_list store_replica::changes(routing::store_position since) const
{
    proxy::item_list list;
    list.revision = m_context.known.upstreams;
    list.since = m_removals.covers(since) ? since : routing::store_position{};
    list.removals_known_since = m_removals.known_since();
    for (auto const& [key, item] : m_items) {
        if (item.at() > list.since) {
            list.items.push_back(item);
        }
    }
    if (list.since.is_set()) {
        for (auto const& [at, key] : m_removals.after(list.since)) {
            list.items.push_back({key, "", at.revision, true, at.era});
        }
    }
    return list;
}

bool store_replica::merge(proxy::packed_configuration const& received)
{
    // A host of an earlier version names no version.
    bool const may_be_newer =
        received.version == 0 || received.version > m_configurations.version();
    if (may_be_newer && received.revision != 0) {
        auto const item = m_configurations.unpack(received);
        if (!item || !m_codec.is_configuration(item->key)) {
            return false;
        }
        apply(*item);
    }
    routing::store_position& checked = m_context.known.checked;
    checked = std::max(checked, received.checked);
    return true;
}

proxy::packed_configuration store_replica::configuration(std::uint64_t base)
{
    proxy::packed_configuration received = m_configurations.pack(base);
    received.checked = m_context.known.checked;
    return received;
}

proxy::item_list store_replica::all_changes(routing::store_position since) const
{
    proxy::item_list list = changes(since);
    list.revision = m_context.known.all();
    if (m_configurations.newest().at() > list.since) {
        list.items.push_back(m_configurations.newest());
    }
    return list;
}

} // namespace caperjunction::program
