#ifndef CAPERJUNCTION_PROXY_STORE_ITEM_HPP
#define CAPERJUNCTION_PROXY_STORE_ITEM_HPP

#include <cstdint>
#include <string>

namespace caperjunction::proxy {

/// One item of the platform's store, or its removal.
struct store_item
{
    std::string key;
    /// Any bytes; empty if removed.
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

} // namespace caperjunction::proxy

#endif
