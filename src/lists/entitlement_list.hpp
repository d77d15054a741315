#ifndef CAPERJUNCTION_LISTS_ENTITLEMENT_LIST_HPP
#define CAPERJUNCTION_LISTS_ENTITLEMENT_LIST_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::lists {

/// Model that callers may request.
struct model_entry
{
    std::string name;
    std::uint32_t context_tokens = 8192;

    friend bool operator==(model_entry const&, model_entry const&) = default;
};

/// Operation of a plain service, matched by method and path prefix.
struct service_call
{
    std::string method;
    std::string path_prefix;
    /// If false, the call runs at most once and needs an Idempotency-Key.
    bool repeatable = false;

    friend bool operator==(service_call const&, service_call const&) = default;
};

struct service_entry
{
    std::string name;
    /// Region of its instances. Used only by `check_deployment`; claims are
    /// stored across the fleet regardless of this value.
    std::string home_region;
    std::vector<service_call> calls;

    friend bool operator==(service_entry const&,
                           service_entry const&) = default;
};

/// Models and services that the teams of one plan may use.
struct entitlement
{
    std::string plan;
    std::vector<std::string> models;
    std::vector<std::string> services;

    friend bool operator==(entitlement const&, entitlement const&) = default;
};

/// Second of the two lists maintained by operators: the models and services
/// that each plan may use.
struct entitlement_list
{
    /// Assigned by the platform on publication; not part of the JSON text.
    std::uint64_t revision = 0;
    std::vector<model_entry> models;
    std::vector<service_entry> services;
    std::vector<entitlement> entitlements;
};

} // namespace caperjunction::lists

#endif
