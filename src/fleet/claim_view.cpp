#include "fleet/claim_view.hpp"

#include "fleet/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace caperjunction::fleet {

namespace {

// Takes hosts in rank order, up to the limit per data centre. Remaining seats
// go to the highest ranked hosts that were skipped.
std::vector<std::string> choose_witnesses(std::vector<model::host> const& hosts,
                                          std::vector<std::size_t> const& order,
                                          claim_settings const& settings)
{
    std::vector<std::string> chosen;
    std::vector<std::string> skipped;
    std::map<std::string, std::uint32_t> by_data_centre;
    for (std::size_t const index : order) {
        if (chosen.size() == settings.witnesses) {
            return chosen;
        }
        auto& count = by_data_centre[hosts[index].data_centre];
        bool const has_seat = count < settings.witnesses_per_data_centre;
        count += has_seat ? 1 : 0;
        (has_seat ? chosen : skipped).push_back(hosts[index].name);
    }
    for (auto const& name : skipped) {
        if (chosen.size() == settings.witnesses) {
            break;
        }
        chosen.push_back(name);
    }
    return chosen;
}

std::vector<std::string> missing_from(std::vector<std::string> const& names,
                                      std::vector<std::string> const& others)
{
    std::vector<std::string> result;
    for (auto const& name : names) {
        if (std::find(others.begin(), others.end(), name) == others.end()) {
            result.push_back(name);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

claim_view::claim_view(model::host_list hosts, claim_settings const& settings)
    : m_hosts(std::move(hosts))
    , m_settings(settings)
{
    std::vector<model::host> candidates;
    std::vector<std::string> names;
    for (auto const& host : m_hosts.members) {
        if (!host.leaving) {
            candidates.push_back(host);
            names.push_back(host.name);
        }
    }
    m_witnesses.reserve(settings.buckets);
    for (std::size_t bucket = 0; bucket < settings.buckets; ++bucket) {
        auto const order = rendezvous_order(names, bucket);
        m_witnesses.push_back(choose_witnesses(candidates, order, settings));
    }
}

bool claim_view::is_witness(std::string_view host, std::size_t bucket) const
{
    auto const& names = m_witnesses[bucket];
    return std::find(names.begin(), names.end(), host) != names.end();
}

claim_view claim_view::without(std::set<std::string> const& hosts) const
{
    model::host_list remaining = m_hosts;
    std::erase_if(remaining.members, [&](model::host const& one) {
        return hosts.count(one.name) > 0;
    });
    return claim_view(std::move(remaining), m_settings);
}

std::string claim_view::successor(std::string_view host,
                                  std::size_t bucket,
                                  claim_view const& next) const
{
    auto const outgoing =
        missing_from(witnesses(bucket), next.witnesses(bucket));
    auto const incoming =
        missing_from(next.witnesses(bucket), witnesses(bucket));
    auto const position = std::find(outgoing.begin(), outgoing.end(), host);
    auto const index = static_cast<std::size_t>(position - outgoing.begin());
    bool const matched = index < outgoing.size() && index < incoming.size();
    return matched ? incoming[index] : std::string();
}

} // namespace caperjunction::fleet
