#ifndef CAPERJUNCTION_PROGRAM_STORE_REPLICA_HPP
#define CAPERJUNCTION_PROGRAM_STORE_REPLICA_HPP

#include "program/configuration_history.hpp"
#include "program/removal_history.hpp"
#include "proxy/list_codec.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/store_codec.hpp"
#include "proxy/store_item.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::program {

/// A host's replica of the platform's store. Decodes the items into routes and
/// upstreams, and keeps the encoded items for hosts that cannot read the store
/// themselves.
///
/// Thread safety: none; owned by the loop's task.
class store_replica
{
public:
    store_replica(proxy::relay_context& context,
                  proxy::store_codec const& codec);

    /// Records that the store, or another host's list, is of this era.
    ///
    /// What is missing after the begin of an era may be among what the copy
    /// lacks and be written again; it stays for `settle_time`.
    void enter_era(std::uint64_t era);

    /// Applies an item that was read from the store. An item that is older than
    /// the replica's is ignored: the store reader may lag behind the changes
    /// received from other hosts.
    void apply(proxy::store_item const& item);

    /// Records that all changes of both list kinds up to `at` are applied. The
    /// store reports this position.
    ///
    /// The revision of the newest item is no substitute. A complete read comes
    /// in pages that are not a snapshot, so a later page may contain a change
    /// that is newer than one which an earlier page missed. A host that uses
    /// the newest item's revision sends other hosts a list with a gap that they
    /// cannot detect: they keep outdated routes and keys and treat them as
    /// confirmed.
    void commit(routing::store_position at);

    /// Removes what has been missing since the begin of an era. Must be called
    /// now and then.
    void settle();

    /// Removes all items that are not in `keys`, after a complete read that
    /// began at `at`. Newer items stay: they came from other hosts
    /// meanwhile.
    void retain_only(std::vector<std::string> const& keys,
                     routing::store_position at);

    /// Merges another host's upstreams. Items that are older than the
    /// replica's are ignored.
    void merge(proxy::item_list const& list);

    /// Merges another host's configuration; an older one is ignored. Returns
    /// false if it cannot be decoded; the caller has to request the full text.
    bool merge(proxy::packed_configuration const& received);

    /// Returns the upstreams that changed after `since`, or all of them if that
    /// is not set or this host doesn't know all removals after it.
    proxy::item_list changes(routing::store_position since) const;

    /// Returns the newest configuration as a delta for a host that has
    /// version `base`; its revision is 0 if there is no configuration.
    proxy::packed_configuration configuration(std::uint64_t base);

    /// Returns upstreams and configuration in one list, for hosts of earlier
    /// versions that request both together.
    proxy::item_list all_changes(routing::store_position since) const;

    std::uint64_t config_version() const;

private:
    bool has_newer(proxy::store_item const& item) const;
    void commit_upstreams(routing::store_position at);
    void decode(proxy::store_item const& item);
    void put_configuration(routing::configuration read,
                           proxy::store_item const& item);
    void put_evacuation(proxy::evacuation const& record,
                        std::uint64_t revision);
    void put_upstream(routing::upstream const& described,
                      std::uint64_t revision);

    proxy::relay_context& m_context;
    proxy::store_codec const& m_codec;
    /// All items except the configuration, by key.
    std::map<std::string, proxy::store_item> m_items;
    configuration_history m_configurations;
    removal_history m_removals;
    std::uint64_t m_era = 0;
    /// Keys that have been missing since the begin of the era, except those of
    /// upstreams, which the directory keeps.
    std::vector<std::string> m_unsettled;
    model::time_point m_settled_at{};
};

} // namespace caperjunction::program

#endif
