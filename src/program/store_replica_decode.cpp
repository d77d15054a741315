#include "program/store_replica.hpp"

#include "model/error.hpp"
#include "proxy/cold_upstreams.hpp"
#include "runtime/log_line.hpp"

#include <utility>

namespace caperjunction::program {

std::uint64_t store_replica::config_version() const
{
    return m_context.table ? m_context.table->config().version : 0;
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
    m_configurations.add(item, read.version);
    m_context.known.configuration = read.version;
    m_context.known.configuration_revision = item.revision;
    runtime::log_line("config_applied")
        .field("version", read.version)
        .field("before", before)
        .field("revision", item.revision)
        .field("era", item.era)
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
