#ifndef CAPERJUNCTION_PROXY_STORE_ITEM_HPP
#define CAPERJUNCTION_PROXY_STORE_ITEM_HPP

#include "routing/store_position.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::proxy {

/// An item of the platform's store, or the removal of one.
struct store_item
{
    std::string key;
    /// Arbitrary bytes; empty if removed.
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    /// Era of the store in which it was read.
    std::uint64_t era = 0;

    routing::store_position at() const
    {
        return {revision, era};
    }
};

} // namespace caperjunction::proxy

#endif
