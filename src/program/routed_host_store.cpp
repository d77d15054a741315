#include "program/routed_host.hpp"

#include "runtime/log_line.hpp"

namespace caperjunction::program {

proxy::store_hooks routed_host::reader_hooks()
{
    proxy::store_hooks hooks;
    hooks.on_item = [this](proxy::store_item const& item) {
        m_replica.apply(item);
    };
    hooks.on_complete = [this](proxy::store_list const& list) {
        runtime::log_line("store_read")
            .field("era", list.at.era)
            .field("revision", list.at.revision)
            .field("keys", list.keys.size())
            .field("pages", list.pages)
            .field("first_page_age_ms", list.first_page_age.count())
            .field("confirmed_age_ms", list.confirmed_age.count());
        m_replica.retain_only(list.keys, list.at);
        record_first_read();
    };
    hooks.on_gap = [](proxy::revision_gap const& gap) {
        runtime::log_line("store_gap")
            .field("after", gap.after)
            .field("revision", gap.revision)
            .field("missing", gap.missing);
    };
    hooks.on_confirmed = [this](model::time_point as_of,
                                routing::store_position at) {
        routing::store_revisions const before = m_context.known;
        m_replica.commit(at);
        renew_keys(as_of);
        broadcast_change(before);
    };
    hooks.on_era = [this](std::uint64_t era) {
        runtime::log_line("store_era").field("era", era);
        m_replica.enter_era(era);
    };
    hooks.on_era_fault = [](proxy::era_fault const& fault) {
        runtime::log_line("store_era_unreadable")
            .field("reason", fault.reason)
            .field("value", fault.value)
            .field("known", fault.known);
    };
    hooks.on_lost = [this](proxy::store_failure const& failure) {
        log_store_lost(failure);
    };
    hooks.on_regained = [this] {
        m_context.directory.store_regained(m_loop.now());
        runtime::log_line("store_regained")
            .field("config_age_ms",
                   m_context.keys.age(m_context.lease_now()).count());
    };
    return hooks;
}

// A store that comes back from a copy may lack the newest configuration, and so
// its answer doesn't confirm the keys of an older one.
void routed_host::renew_keys(model::time_point as_of)
{
    if (m_context.peers.newest_configuration()
        <= m_context.known.configuration) {
        m_context.keys.renew(as_of);
    }
}

void routed_host::log_store_lost(proxy::store_failure const& failure)
{
    runtime::log_line("store_lost")
        .field("why", failure.reason)
        .field("call", failure.call)
        .field("bytes", failure.progress.bytes)
        .field("total_ms", failure.progress.total.count())
        .field("quiet_ms", failure.progress.idle.count())
        .field("config_age_ms",
               m_context.keys.age(m_context.lease_now()).count());
}

} // namespace caperjunction::program
