#ifndef CAPERJUNCTION_PROGRAM_STORE_REPLICA_HPP
#define CAPERJUNCTION_PROGRAM_STORE_REPLICA_HPP

#include "program/configuration_history.hpp"
#include "proxy/list_codec.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/store_codec.hpp"
#include "proxy/store_item.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::program {

/// What a host has read of the platform's store, decoded into its routes and
/// upstreams, and kept as it was for hosts that can't read it themselves.
///
/// Thread safety: none; owned by the loop's task.
class store_replica
{
public:
    store_replica(proxy::relay_context& context,
                  proxy::store_codec const& codec);

    /// The store gave this item. What is older than what is known here changes
    /// nothing: the store's reader may lag behind what other hosts have told.
    void apply(proxy::store_item const& item);

    /// All changes of both lanes up to `revision` are applied, which the store
    /// has named.
    ///
    /// The newest item held says nothing of that: a whole read comes in pages
    /// that are no snapshot, and a later page may hold a change that is newer
    /// than one which the first page just missed. A host that took the newest
    /// item for its revision gave others a list with a gap that none of them
    /// could notice: they went on with old routes and keys and believed them
    /// confirmed.
    void commit(std::uint64_t revision);

    /// The store was read whole: what is not among `keys` is missing.
    void retain_only(std::vector<std::string> const& keys);

    /// Another host gave its upstreams. Items that are older than what is
    /// known here change nothing.
    void merge(proxy::item_list const& list);

    /// Another host gave its configuration. An older one changes nothing.
    /// False if it can't be read; it is to be asked for whole then.
    bool merge(proxy::packed_configuration const& received);

    /// Upstreams that have changed after revision `since`; all, if that is 0 or
    /// too long ago.
    proxy::item_list changes(std::uint64_t since) const;

    /// The newest configuration, for a host that has that of revision `base`;
    /// revision 0 if there is none.
    proxy::packed_configuration configuration(std::uint64_t base);

    /// Both in one list, for hosts of versions that know no other.
    proxy::item_list all_changes(std::uint64_t since) const;

    std::uint64_t config_version() const;

private:
    bool has_newer(proxy::store_item const& item) const;
    void apply_configuration(proxy::store_item const& item);
    void commit_upstreams(std::uint64_t revision);
    void decode(proxy::store_item const& item);
    void put_configuration(routing::configuration read,
                           proxy::store_item const& item);
    void put_upstream(routing::upstream const& described,
                      std::uint64_t revision);

    proxy::relay_context& m_context;
    proxy::store_codec const& m_codec;
    /// Without the configuration.
    std::map<std::string, proxy::store_item> m_items;
    configuration_history m_configurations;
    /// Removals, by revision, the newest `most_removals`.
    std::map<std::uint64_t, std::string> m_removed;
    std::uint64_t m_last_evicted_removal = 0;
    /// Items were found missing by a whole read: at which revision each was
    /// removed is not known, so that peers that know less get all that there
    /// is. Told only what has changed, they kept sending to upstreams that
    /// had left.
    bool m_has_undated_removals = false;
};

} // namespace caperjunction::program

#endif
