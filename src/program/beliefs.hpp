#ifndef CAPERJUNCTION_PROGRAM_BELIEFS_HPP
#define CAPERJUNCTION_PROGRAM_BELIEFS_HPP

#include "proxy/digest_codec.hpp"
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
class beliefs
{
public:
    beliefs(proxy::relay_context& context, proxy::store_codec const& codec);

    /// The store gave this item.
    void apply(proxy::store_item const& item);

    /// The store was read whole: what is not among `keys` is missing.
    void keep_only(std::vector<std::string> const& keys);

    /// Another host gave all that it has. Items that are older than what is
    /// known here change nothing.
    void merge(proxy::item_list const& list);

    proxy::item_list all() const;

    std::uint64_t config_version() const;

private:
    void decode(proxy::store_item const& item);
    void take_configuration(routing::configuration read);
    void take_upstream(routing::upstream const& described);

    proxy::relay_context& m_context;
    proxy::store_codec const& m_codec;
    std::map<std::string, proxy::store_item> m_items;
    std::uint64_t m_revision = 0;
};

} // namespace caperjunction::program

#endif
