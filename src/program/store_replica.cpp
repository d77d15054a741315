#include "program/store_replica.hpp"

#include "model/error.hpp"
#include "proxy/cold_upstreams.hpp"
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

std::uint64_t store_replica::config_version() const
{
    return m_context.table ? m_context.table->config().version : 0;
}

void store_replica::apply(proxy::store_item const& item)
{
    if (m_codec.is_configuration(item.key)) {
        apply_configuration(item);
        return;
    }
    if (has_newer(item)) {
        return;
    }
    if (item.removed) {
        m_items.erase(item.key);
        m_removals.record(item.key, {0, item.revision});
    } else {
        m_items[item.key] = item;
    }
    decode(item);
}

bool store_replica::has_newer(proxy::store_item const& item) const
{
    auto const stored = m_items.find(item.key);
    if (stored != m_items.end()) {
        return stored->second.revision >= item.revision;
    }
    return m_removals.last_of(item.key)
           > routing::store_position{0, item.revision};
}

void store_replica::apply_configuration(proxy::store_item const& item)
{
    if (item.removed || item.revision <= m_configurations.revision()) {
        return;
    }
    m_configurations.add(item);
    m_context.known.configuration = item.revision;
    decode(item);
}

void store_replica::commit(std::uint64_t revision)
{
    commit_upstreams(revision);
    m_context.known.checked = std::max(m_context.known.checked, revision);
}

void store_replica::commit_upstreams(std::uint64_t revision)
{
    std::uint64_t& known = m_context.known.upstreams;
    known = std::max(known, revision);
}

void store_replica::retain_only(std::vector<std::string> const& keys,
                                std::uint64_t revision)
{
    std::set<std::string> const present(keys.begin(), keys.end());
    std::uint64_t const before = m_context.known.upstreams;
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
        if (item.revision > revision) {
            ids.push_back(m_codec.upstream_id(key));
        } else {
            missing.push_back(key);
        }
    }
    m_removals.skip({0, before}, {0, revision});
    for (std::string const& key : missing) {
        m_items.erase(key);
        m_removals.record(key, {0, std::max(before, revision)});
        // The directory itself finds out which upstreams are missing.
        if (m_codec.upstream_id(key).empty()) {
            decode({key, "", 0, true});
        }
    }
    m_context.directory.retain_only(ids, m_context.loop.now());
    commit_upstreams(revision);
}

void store_replica::merge(proxy::item_list const& list)
{
    std::uint64_t const before = m_context.known.upstreams;
    if (list.revision <= before || list.since > before) {
        return;
    }
    std::vector<std::string> keys;
    keys.reserve(list.items.size());
    for (proxy::store_item const& item : list.items) {
        keys.push_back(item.key);
        apply(item);
    }
    if (list.since == 0) {
        retain_only(keys, list.revision);
    } else {
        m_removals.skip(
            {0, before},
            {0, std::min(list.removals_known_since, list.revision)});
        commit_upstreams(list.revision);
    }
    runtime::log_line("peer_items_merged")
        .field("before", before)
        .field("since", list.since)
        .field("revision", list.revision)
        .field("items", list.items.size());
}

proxy::item_list store_replica::changes(std::uint64_t since) const
{
    proxy::item_list list;
    list.revision = m_context.known.upstreams;
    list.since = m_removals.covers({0, since}) ? since : 0;
    list.removals_known_since = m_removals.known_since().revision;
    for (auto const& [key, item] : m_items) {
        if (item.revision > list.since) {
            list.items.push_back(item);
        }
    }
    if (list.since != 0) {
        for (auto const& [at, key] : m_removals.after({0, list.since})) {
            list.items.push_back({key, "", at.revision, true});
        }
    }
    return list;
}

bool store_replica::merge(proxy::packed_configuration const& received)
{
    if (received.revision > m_configurations.revision()) {
        auto const item = m_configurations.unpack(received);
        if (!item || !m_codec.is_configuration(item->key)) {
            return false;
        }
        apply_configuration(*item);
    }
    std::uint64_t& checked = m_context.known.checked;
    checked = std::max(checked, received.checked);
    return true;
}

proxy::packed_configuration store_replica::configuration(std::uint64_t base)
{
    proxy::packed_configuration received = m_configurations.pack(base);
    received.checked = m_context.known.checked;
    return received;
}

proxy::item_list store_replica::all_changes(std::uint64_t since) const
{
    proxy::item_list list = changes(since);
    list.revision = m_context.known.all();
    if (m_configurations.revision() > list.since) {
        list.items.push_back(m_configurations.newest());
    }
    return list;
}

void store_replica::decode(proxy::store_item const& item)
{
    try {
        proxy::store_record record = m_codec.decode(item);
        if (auto* const read = std::get_if<routing::configuration>(&record)) {
            put_configuration(std::move(*read), item);
        } else if (auto const* const described =
                       std::get_if<routing::upstream>(&record)) {
            put_upstream(*described, item.revision);
        } else if (auto const* const broken =
                       std::get_if<proxy::unreadable_upstream>(&record)) {
            m_context.directory.put_unreadable(broken->id,
                                               m_context.loop.now());
            runtime::log_line("upstream_unreadable")
                .field("upstream", broken->id)
                .field("revision", item.revision);
        } else if (auto const* const removed =
                       std::get_if<proxy::removed_upstream>(&record)) {
            m_context.directory.remove(removed->id, m_context.loop.now());
            runtime::log_line("upstream_removed")
                .field("upstream", removed->id)
                .field("revision", item.revision);
        } else if (auto const* const evacuated =
                       std::get_if<proxy::evacuation>(&record)) {
            put_evacuation(*evacuated, item.revision);
        }
    } catch (model::error const& failure) {
        // The current configuration stays in force.
        runtime::log_line("config_refused")
            .field("revision", item.revision)
            .field("message", failure.what())
            .field("remedy", failure.remedy());
    }
}

void store_replica::put_configuration(routing::configuration read,
                                      proxy::store_item const& item)
{
    std::uint64_t const before = config_version();
    if (m_context.table && read.version <= before) {
        return;
    }
    runtime::log_line("config_applied")
        .field("version", read.version)
        .field("before", before)
        .field("revision", item.revision)
        .field("bytes", item.value.size())
        .field("routes", read.routes.size())
        .field("teams", read.teams.size());
    m_context.table =
        std::make_shared<routing::route_table const>(std::move(read));
    proxy::apply_cold_limits(m_context);
}

void store_replica::put_evacuation(proxy::evacuation const& record,
                                   std::uint64_t revision)
{
    if (!m_context.directory.set_evacuated(record.data_centre,
                                           record.is_active)) {
        return;
    }
    if (record.is_active) {
        runtime::log_line("evacuation_begun")
            .field("data_centre", record.data_centre)
            .field("revision", revision);
        return;
    }
    runtime::log_line("evacuation_ended")
        .field("data_centre", record.data_centre)
        .field("revision", revision);
    proxy::record_cold_data_centre(m_context, record.data_centre);
}

void store_replica::put_upstream(routing::upstream const& described,
                                 std::uint64_t revision)
{
    auto const before = m_context.directory.find(described.id);
    bool const has_changed =
        !before || before->description.draining != described.draining
        || before->description.started != described.started
        || !(before->description.at == described.at);
    m_context.directory.put(described);
    proxy::record_cold(m_context,
                       *m_context.directory.find(described.id),
                       described.cold_remaining);
    if (has_changed) {
        runtime::log_line("upstream_changed")
            .field("upstream", described.id)
            .field("service", described.service)
            .field("at", described.at.address)
            .field("data_centre", described.data_centre)
            .field("state", described.draining ? "draining" : "ready")
            .field("version", described.software_version)
            .field("revision", revision);
    }
}

} // namespace caperjunction::program
