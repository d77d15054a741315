#include "decide/engine_table.hpp"

#include "decide/name_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caperjunction::decide {

namespace {

// The rest of the limit is reserved for the highest tier, which may also exceed
// the limit slightly: its burst must not wait for long answers of lower tiers,
// and the engine schedules it first by priority.
constexpr double owned_engine_limit = 0.9;
// Above this load, an engine accepts lower tiers only from the hosts that it is
// assigned to. A host knows only the prompts that it has sent itself. If all
// hosts used the remaining capacity under saturation, several long prompts
// would meet on one engine and delay the highest tier's first tokens.
constexpr double shared_engine_limit = 0.7;
constexpr double highest_tier_limit = 1.12;
// Pending prefill delays every first token on the engine. These limits are
// below the tightest first-token targets, so that waiting requests stay ordered
// on this host.
constexpr double max_prefill_seconds = 0.12;
constexpr double max_highest_tier_prefill_seconds = 0.25;
// With full KV memory an engine preempts running requests and recomputes them.
// Answers grow after admission and reports are delayed, so lower tiers stop
// well before the memory is full.
constexpr double max_lower_tiers_memory = 0.85;
constexpr double max_highest_tier_memory = 0.97;
constexpr double max_lowest_tier_memory = 0.9;
constexpr double lowest_tier_reserve = 0.1;
// Digests of all hosts arrive within this time.
constexpr model::milliseconds allowance_interval{250};

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
        index const engine_index = engine(source.name);
        present.resize(m_engines.size(), false);
        present[engine_index] = true;
        engine_state& state = m_engines[engine_index];
        bool const own_region = source.region == m_region;
        if (state.own_region != own_region) {
            leave_groups(engine_index);
        }
        state.update_listing(source, own_region);
        state.software = m_software.intern(source.software_version);
        serve_models(engine_index, source.models, shares, now);
    }
    rank_engines();
    for (index engine_index = 0; engine_index < present.size();
         ++engine_index) {
        if (!present[engine_index] && !m_engines[engine_index].groups.empty()) {
            m_engines[engine_index].health = engine_health::leaving;
            leave_groups(engine_index);
        }
    }
}

void engine_table::serve_models(index engine_index,
                                std::vector<std::string> const& models,
                                std::vector<double> const& shares,
                                model::time_point now)
{
    std::vector<index> groups;
    groups.reserve(models.size());
    for (std::string const& name : models) {
        groups.push_back(group(name, shares));
    }
    engine_state& state = m_engines[engine_index];
    if (groups != state.groups) {
        leave_groups(engine_index);
        state.groups = std::move(groups);
        for (index const group_index : state.groups) {
            m_groups[group_index].engines.push_back(engine_index);
        }
    }
    refresh(engine_index, now);
}

void engine_table::refresh(index engine_index, model::time_point now)
{
    engine_state const& state = m_engines[engine_index];
    engine_capacity const capacity = capacity_of(state, now);
    for (index const group_index : state.groups) {
        region_capacity& region =
            m_groups[group_index].capacity(state.own_region);
        if (capacity == engine_capacity::any_tier) {
            region.any_tier.insert(engine_index);
        } else {
            region.any_tier.erase(engine_index);
        }
        if (capacity == engine_capacity::any_tier && state.owned_share > 0.0) {
            region.owned.insert(engine_index);
        } else {
            region.owned.erase(engine_index);
        }
        if (capacity == engine_capacity::highest_tier) {
            region.highest_tier.insert(engine_index);
        } else {
            region.highest_tier.erase(engine_index);
        }
    }
}

void engine_table::renew_allowance(index engine_index,
                                   host_position const& position,
                                   model::time_point now)
{
    engine_state& state = m_engines[engine_index];
    if (now - state.allowance_renewed >= allowance_interval) {
        // All hosts see the same free capacity at the same time. If each used
        // all of it, an engine would get as many times the requests as there
        // are hosts. Each host therefore takes its share: of the capacity
        // reserved for assigned hosts on its own engines, and of the rest on
        // all engines.
        state.owned_share =
            state.own_region ? position.share_of(state.rank, state.peer_count)
                             : 0.0;
        double const host_count =
            state.own_region ? position.in_region : position.hosts;
        double const share =
            state.owned_share > 0.0 ? state.owned_share : 1.0 / host_count;
        double const free_capacity =
            std::max(0.0, lower_tiers_limit(state) - state.outstanding(now));
        auto const period = static_cast<std::uint64_t>(now.time_since_epoch()
                                                       / allowance_interval);
        std::uint64_t const hash =
            mix(name_hash(m_host), mix(name_hash(state.name), period));
        double const random_value =
            static_cast<double>(hash % 10'000) / 10'000.0;
        state.allowance = std::floor(free_capacity * share + random_value);
        state.allowance_renewed = now;
    }
    refresh(engine_index, now);
}

double engine_table::lower_tiers_limit(engine_state const& state)
{
    double const limit_share =
        state.owned_share > 0.0 ? owned_engine_limit : shared_engine_limit;
    return state.concurrency_limit() * limit_share;
}

engine_capacity engine_table::capacity_of(engine_state const& state,
                                          model::time_point now) const
{
    double const limit = state.concurrency_limit();
    if (limit <= 0.0) {
        return engine_capacity::none;
    }
    double const outstanding = state.outstanding(now);
    if (state.health == engine_health::probing) {
        return state.accepts_probe() ? engine_capacity::any_tier
                                     : engine_capacity::none;
    }
    double const rate = state.groups.empty()
                            ? 1.0
                            : m_groups[state.groups.front()]
                                  .prefill_estimate.tokens_per_second();
    double const pending = state.pending_prefill(rate, now) / rate;
    if (outstanding < lower_tiers_limit(state) && pending < max_prefill_seconds
        && state.allowance >= 1.0 && state.kv_used() < max_lower_tiers_memory) {
        return engine_capacity::any_tier;
    }
    if (outstanding < limit * highest_tier_limit
        && pending < max_highest_tier_prefill_seconds
        && state.kv_used() < max_highest_tier_memory) {
        return engine_capacity::highest_tier;
    }
    return engine_capacity::none;
}

bool engine_table::has_capacity_for_lowest(engine_state const& state,
                                           model::time_point now) const
{
    return state.outstanding(now)
               < lower_tiers_limit(state)
                     - state.concurrency_limit() * lowest_tier_reserve
           && state.kv_used()
                      * m_groups[state.groups.front()].kv_forecast.growth()
                  < max_lowest_tier_memory;
}

void engine_table::rank_engines()
{
    // Sorted by name, so that all hosts divide the same sequence.
    std::vector<index> sorted(m_engines.size());
    std::iota(sorted.begin(), sorted.end(), 0);
    std::sort(sorted.begin(), sorted.end(), [this](index left, index right) {
        return m_engines[left].name < m_engines[right].name;
    });
    std::vector<std::uint32_t> counts(m_groups.size());
    for (int pass = 0; pass < 2; ++pass) {
        for (index const engine_index : sorted) {
            engine_state& state = m_engines[engine_index];
            if (!state.own_region || state.groups.empty()
                || state.health == engine_health::leaving) {
                continue;
            }
            std::uint32_t& count = counts[state.groups.front()];
            if (pass == 0) {
                state.rank = count++;
            } else {
                state.peer_count = count;
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

bool engine_table::has_software(index group, index software) const
{
    auto const& members = m_groups[group].engines;
    return std::any_of(members.begin(), members.end(), [&](index member) {
        engine_state const& state = m_engines[member];
        return state.software == software
               && state.health != engine_health::leaving;
    });
}

index engine_table::group(std::string const& model,
                          std::vector<double> const& shares)
{
    index const group_index = m_models.intern(model);
    if (group_index == m_groups.size()) {
        m_groups.emplace_back(shares);
        m_model_hashes.emplace(name_hash(model), group_index);
    }
    return group_index;
}

index engine_table::engine(std::string const& name)
{
    index const engine_index = m_names.intern(name);
    if (engine_index == m_engines.size()) {
        m_engines.emplace_back(name);
        m_hashes.emplace(name_hash(name), engine_index);
    }
    return engine_index;
}

void engine_table::leave_groups(index engine_index)
{
    for (index const group_index : m_engines[engine_index].groups) {
        model_group& target = m_groups[group_index];
        auto& engines = target.engines;
        engines.erase(std::remove(engines.begin(), engines.end(), engine_index),
                      engines.end());
        for (region_capacity* region :
             {&target.own_region, &target.other_regions}) {
            region->any_tier.erase(engine_index);
            region->owned.erase(engine_index);
            region->highest_tier.erase(engine_index);
        }
    }
    m_engines[engine_index].groups.clear();
}

} // namespace caperjunction::decide
