#include "decide/engine_table.hpp"

#include "decide/name_hash.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

namespace {

// The last of the bound is kept for the highest tier, which may also go a
// little over it: its burst must not wait for a lower tier's long answers,
// and the engine runs it first by its priority.
constexpr double lower_tiers_share = 0.9;
constexpr double highest_tier_share = 1.12;
// Prefill waiting on an engine delays every first token there. Below the
// tightest first-token targets, so that what waits stays here, in order.
constexpr double prefill_seconds = 0.25;
constexpr double highest_tier_prefill_seconds = 0.4;
// Digests of all hosts have come round in this time.
constexpr model::milliseconds allowance_period{250};

} // namespace

engine_table::engine_table(std::string host, std::string region)
    : m_host(std::move(host))
    , m_region(std::move(region))
{
}

void engine_table::apply(model::upstreams const& listed,
                         std::vector<double> const& shares,
                         model::time_point now)
{
    std::vector<bool> present(m_engines.size(), false);
    for (model::engine const& source : listed.engines) {
        index const place = engine(source.name);
        present.resize(m_engines.size(), false);
        present[place] = true;
        engine_state& state = m_engines[place];
        bool const own_region = source.region == m_region;
        if (state.own_region != own_region) {
            leave_groups(place);
        }
        state.describe(source, own_region);
        serve_models(place, source.models, shares, now);
    }
    for (index place = 0; place < present.size(); ++place) {
        if (!present[place] && !m_engines[place].groups.empty()) {
            m_engines[place].health = engine_health::leaving;
            leave_groups(place);
        }
    }
}

void engine_table::serve_models(index place,
                                std::vector<std::string> const& models,
                                std::vector<double> const& shares,
                                model::time_point now)
{
    std::vector<index> groups;
    groups.reserve(models.size());
    for (std::string const& name : models) {
        groups.push_back(group(name, shares));
    }
    engine_state& state = m_engines[place];
    if (groups != state.groups) {
        leave_groups(place);
        state.groups = std::move(groups);
        for (index const joined : state.groups) {
            m_groups[joined].engines.push_back(place);
        }
    }
    refresh(place, now);
}

void engine_table::refresh(index place, model::time_point now)
{
    engine_state const& state = m_engines[place];
    room const found = room_of(state, now);
    for (index const joined : state.groups) {
        region_room& rooms = m_groups[joined].rooms(state.own_region);
        if (found == room::any_tier) {
            rooms.any_tier.insert(place);
        } else {
            rooms.any_tier.erase(place);
        }
        if (found == room::highest_tier) {
            rooms.highest_tier.insert(place);
        } else {
            rooms.highest_tier.erase(place);
        }
    }
}

void engine_table::renew_allowance(index place,
                                   std::uint32_t hosts,
                                   std::uint32_t hosts_in_region,
                                   model::time_point now)
{
    engine_state& state = m_engines[place];
    if (now - state.allowance_renewed >= allowance_period) {
        // All hosts see the same free room at the same time. If each filled
        // it, an engine would get it as many times over as there are hosts;
        // so each takes its share, and the remainder goes round by hash.
        double const limit = state.bound() * lower_tiers_share;
        double const free =
            std::max(0.0, std::floor(limit - state.outstanding(now)));
        double const sharers =
            std::max(1U, state.own_region ? hosts_in_region : hosts);
        auto const period = static_cast<std::uint64_t>(now.time_since_epoch()
                                                       / allowance_period);
        double const rest = std::fmod(free, sharers);
        std::uint64_t const lot =
            mix(name_hash(m_host), mix(name_hash(state.name), period));
        double const draw =
            static_cast<double>(lot % 10'000) / 10'000.0 * sharers;
        state.allowance =
            std::floor(free / sharers) + (draw < rest ? 1.0 : 0.0);
        state.allowance_renewed = now;
    }
    refresh(place, now);
}

room engine_table::room_of(engine_state const& state,
                           model::time_point now) const
{
    double const bound = state.bound();
    if (bound <= 0.0) {
        return room::none;
    }
    double const outstanding = state.outstanding(now);
    if (state.health == engine_health::probing) {
        return state.takes_probe() ? room::any_tier : room::none;
    }
    double const pending =
        state.groups.empty()
            ? 0.0
            : state.pending_prefill()
                  / m_groups[state.groups.front()].prefill.tokens_per_second();
    if (outstanding < bound * lower_tiers_share && pending < prefill_seconds
        && state.allowance >= 1.0) {
        return room::any_tier;
    }
    if (outstanding < bound * highest_tier_share
        && pending < highest_tier_prefill_seconds) {
        return room::highest_tier;
    }
    return room::none;
}

index engine_table::find_hash(std::uint32_t hash) const
{
    auto const found = m_hashes.find(hash);
    return found == m_hashes.end() ? no_index : found->second;
}

index engine_table::find_model_hash(std::uint32_t hash) const
{
    auto const found = m_model_hashes.find(hash);
    return found == m_model_hashes.end() ? no_index : found->second;
}

index engine_table::group(std::string const& model,
                          std::vector<double> const& shares)
{
    index const place = m_models.intern(model);
    if (place == m_groups.size()) {
        m_groups.emplace_back(shares);
        m_model_hashes.emplace(name_hash(model), place);
    }
    return place;
}

index engine_table::engine(std::string const& name)
{
    index const place = m_names.intern(name);
    if (place == m_engines.size()) {
        m_engines.emplace_back(name);
        m_hashes.emplace(name_hash(name), place);
    }
    return place;
}

void engine_table::leave_groups(index place)
{
    for (index const joined : m_engines[place].groups) {
        model_group& left = m_groups[joined];
        auto& engines = left.engines;
        engines.erase(std::remove(engines.begin(), engines.end(), place),
                      engines.end());
        for (region_room* rooms : {&left.own, &left.others}) {
            rooms->any_tier.erase(place);
            rooms->highest_tier.erase(place);
        }
    }
    m_engines[place].groups.clear();
}

} // namespace caperjunction::decide
