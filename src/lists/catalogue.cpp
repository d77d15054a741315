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
    for (std::size_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].name, position);
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
    , m_class_index(index_names(m_plans.classes))
    , m_tier_index(index_names(m_plans.tiers))
    , m_plan_index(index_names(m_plans.plans))
    , m_model_index(index_names(m_entitlements.models))
    , m_service_index(index_names(m_entitlements.services))
{
    auto const& entries = m_entitlements.entitlements;
    for (std::size_t position = 0; position < entries.size(); ++position) {
        m_entitlement_index.emplace(entries[position].plan, position);
    }
    build_key_index();
}

void catalogue::build_key_index()
{
    for (customer const& owner : m_plans.customers) {
        for (team const& member : owner.teams) {
            identity const holder{&owner,
                                  &member,
                                  find_plan(member.plan),
                                  find_in(m_entitlements.entitlements,
                                          m_entitlement_index,
                                          member.plan)};
            for (api_key const& key : member.keys) {
                m_key_index.emplace(key.id, key_entry{&key, holder});
            }
        }
    }
}

identity catalogue::identify(std::string_view key) const
{
    auto const found = m_key_index.find(key_id(key));
    if (found == m_key_index.end()) {
        return {};
    }
    api_key const& stored = *found->second.key;
    std::string const hash = hash_key(stored.salt, key);
    return equal_constant_time(hash, stored.sha256) ? found->second.holder
                                                    : identity{};
}

service_class const* catalogue::find_class(std::string_view name) const
{
    return find_in(m_plans.classes, m_class_index, name);
}

tier const* catalogue::find_tier(std::string_view name) const
{
    return find_in(m_plans.tiers, m_tier_index, name);
}

plan const* catalogue::find_plan(std::string_view name) const
{
    return find_in(m_plans.plans, m_plan_index, name);
}

model_entry const* catalogue::find_model(std::string_view name) const
{
    return find_in(m_entitlements.models, m_model_index, name);
}

service_entry const* catalogue::find_service(std::string_view name) const
{
    return find_in(m_entitlements.services, m_service_index, name);
}

} // namespace caperjunction::lists
