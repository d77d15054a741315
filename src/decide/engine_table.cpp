#include "decide/engine_table.hpp"

#include "decide/name_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caperjunction::decide {

namespace {

// The last of the bound is kept for the highest tier, which may also go a
// little over it: its burst must not wait for a lower tier's long answers,
// and the engine runs it first by its priority.
constexpr double owned_share = 0.9;
// Beyond this an engine takes lower tiers from the hosts that it falls to
// alone. Made for saturation: a host knows only the prompts that it has sent
// itself. Were all hosts to fill the last room, several long prompts would
// meet on one engine, and hold up the highest tier's first tokens there.
constexpr double shared_share = 0.7;
constexpr double highest_tier_share = 1.12;
// Prefill waiting on an engine delays every first token there. Below the
// tightest first-token targets, so that what waits stays here, in order.
constexpr double prefill_seconds = 0.12;
constexpr double highest_tier_prefill_seconds = 0.25;
// Full KV memory makes an engine put running work back and compute it anew.
// Answers still grow after they were let in, and reports lag; so lower tiers
// stop well before it is full.
constexpr double lower_tiers_memory = 0.85;
constexpr double highest_tier_memory = 0.97;
constexpr double lowest_tier_memory = 0.9;
constexpr double lowest_leaves = 0.1;
// Digests of all hosts have come round in this time.
constexpr model::milliseconds allowance_period{250};

} // namespace

engine_table::engine_table(std::string host, std::string region)
    : m_host(std::move(host))
    , m_region(std::move(region))
{
}

void engine_table::apply(model::upstream_list const& listed,
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
    rank_engines();
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
        if (found == room::any_tier && state.owned > 0.0) {
            rooms.owned.insert(place);
        } else {
            rooms.owned.erase(place);
        }
        if (found == room::highest_tier) {
            rooms.highest_tier.insert(place);
        } else {
            rooms.highest_tier.erase(place);
        }
    }
}

void engine_table::renew_allowance(index place,
                                   host_position const& position,
                                   model::time_point now)
{
    engine_state& state = m_engines[place];
    if (now - state.allowance_renewed >= allowance_period) {
        // All hosts see the same free room at the same time. If each filled
        // it, an engine would get it as many times over as there are hosts.
        // So each takes its share: of the last room on the engines that fall
        // to it, of the rest on all.
        state.owned = state.own_region
                          ? position.share_of(state.rank, state.fellows)
                          : 0.0;
        double const sharers =
            state.own_region ? position.in_region : position.hosts;
        double const part = state.owned > 0.0 ? state.owned : 1.0 / sharers;
        double const free =
            std::max(0.0, lower_tiers_limit(state) - state.outstanding(now));
        auto const period = static_cast<std::uint64_t>(now.time_since_epoch()
                                                       / allowance_period);
        std::uint64_t const lot =
            mix(name_hash(m_host), mix(name_hash(state.name), period));
        double const draw = static_cast<double>(lot % 10'000) / 10'000.0;
        state.allowance = std::floor(free * part + draw);
        state.allowance_renewed = now;
    }
    refresh(place, now);
}

double engine_table::lower_tiers_limit(engine_state const& state)
{
    double const share = state.owned > 0.0 ? owned_share : shared_share;
    return state.bound() * share;
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
    double const rate =
        state.groups.empty()
            ? 1.0
            : m_groups[state.groups.front()].prefill.tokens_per_second();
    double const pending = state.pending_prefill(rate, now) / rate;
    if (outstanding < lower_tiers_limit(state) && pending < prefill_seconds
        && state.allowance >= 1.0 && state.kv_used() < lower_tiers_memory) {
        return room::any_tier;
    }
    if (outstanding < bound * highest_tier_share
        && pending < highest_tier_prefill_seconds
        && state.kv_used() < highest_tier_memory) {
        return room::highest_tier;
    }
    return room::none;
}

bool engine_table::room_for_lowest(engine_state const& state,
                                   model::time_point now) const
{
    return state.outstanding(now)
               < lower_tiers_limit(state) - state.bound() * lowest_leaves
           && state.kv_used() * m_groups[state.groups.front()].memory.growth()
                  < lowest_tier_memory;
}

void engine_table::rank_engines()
{
    // In order of their names, so that all hosts cut the same row.
    std::vector<index> row(m_engines.size());
    std::iota(row.begin(), row.end(), 0);
    std::sort(row.begin(), row.end(), [this](index left, index right) {
        return m_engines[left].name < m_engines[right].name;
    });
    std::vector<std::uint32_t> counts(m_groups.size());
    for (int pass = 0; pass < 2; ++pass) {
        for (index const place : row) {
            engine_state& state = m_engines[place];
            if (!state.own_region || state.groups.empty()
                || state.health == engine_health::leaving) {
                continue;
            }
            std::uint32_t& count = counts[state.groups.front()];
            if (pass == 0) {
                state.rank = count++;
            } else {
                state.fellows = count;
            }
        }
    }
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
            rooms->owned.erase(place);
            rooms->highest_tier.erase(place);
        }
    }
    m_engines[place].groups.clear();
}

} // namespace caperjunction::decide
