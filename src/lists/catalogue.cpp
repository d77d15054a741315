#include "lists/catalogue.hpp"

#include "lists/key_hash.hpp"

#include <utility>

namespace caperjunction::lists {
namespace {

template <typename Entry>
std::unordered_map<std::string_view, std::size_t>
index_names(std::vector<Entry> const& entries)
{
    std::unordered_map<std::string_view, std::size_t> index;
    for (std::size_t place = 0; place < entries.size(); ++place) {
        index.emplace(entries[place].name, place);
    }
    return index;
}

template <typename Entry>
Entry const*
find_in(std::vector<Entry> const& entries,
        std::unordered_map<std::string_view, std::size_t> const& index,
        std::string_view name)
{
    auto const found = index.find(name);
    return found == index.end() ? nullptr : &entries[found->second];
}

} // namespace

catalogue::catalogue(plan_list plans, entitlement_list entitlements)
    : m_plans(std::move(plans))
    , m_entitlements(std::move(entitlements))
    , m_classes(index_names(m_plans.classes))
    , m_tiers(index_names(m_plans.tiers))
    , m_plan_names(index_names(m_plans.plans))
    , m_models(index_names(m_entitlements.models))
    , m_services(index_names(m_entitlements.services))
{
    auto const& entries = m_entitlements.entitlements;
    for (std::size_t place = 0; place < entries.size(); ++place) {
        m_entitled.emplace(entries[place].plan, place);
    }
    index_keys();
}

void catalogue::index_keys()
{
    for (customer const& owner : m_plans.customers) {
        for (team const& member : owner.teams) {
            identity const holder{
                &owner,
                &member,
                find_plan(member.plan),
                find_in(m_entitlements.entitlements, m_entitled, member.plan)};
            for (api_key const& key : member.keys) {
                m_keys.emplace(key.id, key_place{&key, holder});
            }
        }
    }
}

identity catalogue::identify(std::string_view key) const
{
    auto const found = m_keys.find(key_id(key));
    if (found == m_keys.end()) {
        return {};
    }
    api_key const& kept = *found->second.key;
    std::string const hash = hash_key(kept.salt, key);
    return equal_constant_time(hash, kept.sha256) ? found->second.holder
                                                  : identity{};
}

service_class const* catalogue::find_class(std::string_view name) const
{
    return find_in(m_plans.classes, m_classes, name);
}

tier const* catalogue::find_tier(std::string_view name) const
{
    return find_in(m_plans.tiers, m_tiers, name);
}

plan const* catalogue::find_plan(std::string_view name) const
{
    return find_in(m_plans.plans, m_plan_names, name);
}

model_entry const* catalogue::find_model(std::string_view name) const
{
    return find_in(m_entitlements.models, m_models, name);
}

service_entry const* catalogue::find_service(std::string_view name) const
{
    return find_in(m_entitlements.services, m_services, name);
}

} // namespace caperjunction::lists
