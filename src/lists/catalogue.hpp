#ifndef CAPERJUNCTION_LISTS_CATALOGUE_HPP
#define CAPERJUNCTION_LISTS_CATALOGUE_HPP

#include "lists/entitlement_list.hpp"
#include "lists/plan_list.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace caperjunction::lists {

/// Who a caller is, once its key has been checked.
struct identity
{
    lists::customer const* customer = nullptr;
    lists::team const* team = nullptr;
    lists::plan const* plan = nullptr;
    lists::entitlement const* entitlement = nullptr;
};

/// A checked pair of lists, indexed for the path of a request.
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

    /// The caller that holds `key`, or an identity of null pointers. The
    /// comparison takes the same time wherever the keys first differ.
    identity identify(std::string_view key) const;

    /// Null if there is none of that name.
    service_class const* find_class(std::string_view name) const;
    tier const* find_tier(std::string_view name) const;
    plan const* find_plan(std::string_view name) const;
    model_entry const* find_model(std::string_view name) const;
    service_entry const* find_service(std::string_view name) const;

private:
    struct key_place
    {
        api_key const* key = nullptr;
        identity holder;
    };

    using name_index = std::unordered_map<std::string_view, std::size_t>;

    void index_keys();

    plan_list m_plans;
    entitlement_list m_entitlements;
    name_index m_classes;
    name_index m_tiers;
    name_index m_plan_names;
    name_index m_models;
    name_index m_services;
    name_index m_entitled;
    std::unordered_map<std::string_view, key_place> m_keys;
};

} // namespace caperjunction::lists

#endif
