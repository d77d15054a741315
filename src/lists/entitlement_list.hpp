#ifndef CAPERJUNCTION_LISTS_ENTITLEMENT_LIST_HPP
#define CAPERJUNCTION_LISTS_ENTITLEMENT_LIST_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::lists {

/// A model that may be named by callers.
struct model_entry
{
    std::string name;
    std::uint32_t context_tokens = 8192;

    friend bool operator==(model_entry const&, model_entry const&) = default;
};

/// One call of a plain service, by method and leading part of its path.
struct service_call
{
    std::string method;
    std::string path_prefix;
    /// False: it runs at most once, and needs an Idempotency-Key.
    bool repeatable = false;

    friend bool operator==(service_call const&, service_call const&) = default;
};

struct service_entry
{
    std::string name;
    /// Where its instances stand. The lists' check reads it; claims are kept
    /// all over the fleet, whatever it says.
    std::string home_region;
    std::vector<service_call> calls;

    friend bool operator==(service_entry const&,
                           service_entry const&) = default;
};

/// What the holders of one plan may use.
struct entitlement
{
    std::string plan;
    std::vector<std::string> models;
    std::vector<std::string> services;

    friend bool operator==(entitlement const&, entitlement const&) = default;
};

/// The second of the operators' two lists: what each plan may use.
struct entitlement_list
{
    /// Given by the platform at publishing; not part of the text.
    std::uint64_t revision = 0;
    std::vector<model_entry> models;
    std::vector<service_entry> services;
    std::vector<entitlement> entitlements;
};

} // namespace caperjunction::lists

#endif
