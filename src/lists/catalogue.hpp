#ifndef CAPERJUNCTION_LISTS_CATALOGUE_HPP
#define CAPERJUNCTION_LISTS_CATALOGUE_HPP

#include "lists/entitlement_list.hpp"
#include "lists/plan_list.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace caperjunction::lists {

/// Entries of the lists that belong to an authenticated caller.
struct identity
{
    lists::customer const* customer = nullptr;
    lists::team const* team = nullptr;
    lists::plan const* plan = nullptr;
    lists::entitlement const* entitlement = nullptr;
};

/// Valid pair of lists with indexes for lookups while serving a request.
///
/// Thread safety: immutable after construction; shared between tasks.
class catalogue
{
public:
    /// \pre `check(plans, entitlements)` is empty.
    catalogue(plan_list plans, entitlement_list entitlements);
    catalogue(catalogue const&) = delete;
    catalogue& operator=(catalogue const&) = delete;

    plan_list const& plans() const
    {
        return m_plans;
    }

    entitlement_list const& entitlements() const
    {
        return m_entitlements;
    }

    /// Returns the holder of `key`, or null pointers if the key is invalid. The
    /// time of the comparison does not depend on where the hashes differ, so
    /// that response times reveal nothing about the stored hash.
    identity identify(std::string_view key) const;

    /// These return null if the name is not defined.
    service_class const* find_class(std::string_view name) const;
    tier const* find_tier(std::string_view name) const;
    plan const* find_plan(std::string_view name) const;
    model_entry const* find_model(std::string_view name) const;
    service_entry const* find_service(std::string_view name) const;

private:
    struct key_entry
    {
        api_key const* key = nullptr;
        identity holder;
    };

    using name_index = std::unordered_map<std::string_view, std::size_t>;

    void build_key_index();

    plan_list m_plans;
    entitlement_list m_entitlements;
    name_index m_class_index;
    name_index m_tier_index;
    name_index m_plan_index;
    name_index m_model_index;
    name_index m_service_index;
    name_index m_entitlement_index;
    std::unordered_map<std::string_view, key_entry> m_key_index;
};

} // namespace caperjunction::lists

#endif
