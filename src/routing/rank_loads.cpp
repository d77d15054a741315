#include "routing/rank_loads.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caperjunction::routing {
namespace {

/// Tokens per unit of an entry. `load_change_detector` adds up changes of
/// pending tokens; in this unit, those of an entry rarely reach its threshold.
constexpr double unit_tokens = 64.0;

template <typename Number>
Number in_units(double tokens)
{
    return static_cast<Number>(std::lround(tokens / unit_tokens));
}

double sum_before(std::array<double, rank_load_meter::max_ranks> const& of,
                  std::size_t end)
{
    return std::accumulate(of.data(), of.data() + end, 0.0);
}

/// Returns the entry of one rank; all zero if nothing is sent.
peer_load entry_of(std::vector<upstream_ptr> const& engines,
                   std::size_t index,
                   bool is_reserved,
                   model::time_point now)
{
    double rate = 0.0;
    double pending = 0.0;
    for (upstream_ptr const& item : engines) {
        if (item->is_sent_to_as_reserved == is_reserved) {
            rate += item->own_ranks.tokens_per_second(index, now);
            pending += static_cast<double>(item->own_ranks.pending(index));
        }
    }
    peer_load result;
    result.load.pending_prefill_tokens = in_units<std::uint64_t>(rate);
    result.load.urgent = in_units<std::uint32_t>(pending);
    return result;
}

} // namespace

double rank_loads::more_urgent(bool is_reserved, std::uint32_t rank) const
{
    group const& of = groups[is_reserved ? 1 : 0];
    return sum_before(of.tokens_per_second, rank_load_meter::index_of(rank));
}

double rank_loads::pending_up_to(bool is_reserved, std::uint32_t rank) const
{
    group const& of = groups[is_reserved ? 1 : 0];
    return sum_before(of.pending, rank_load_meter::index_of(rank) + 1);
}

double rank_loads::pending_share(bool is_reserved, std::uint32_t rank) const
{
    group const& of = groups[is_reserved ? 1 : 0];
    double const all = sum_before(of.pending, of.pending.size());
    return all <= 0.0 ? 1.0 : pending_up_to(is_reserved, rank) / all;
}

std::uint32_t
rank_load_key(std::string_view service, std::size_t index, bool is_reserved)
{
    // Differs from the seeds of `urgent_load_key` and `other_teams_key`.
    constexpr std::uint64_t first_seed = 16;
    std::uint64_t const seed = first_seed + index * 2 + (is_reserved ? 1 : 0);
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(service.data(), service.size(), seed));
}

std::vector<peer_load>
rank_load_entries(std::string_view service,
                  std::vector<upstream_ptr> const& engines,
                  model::time_point now)
{
    std::vector<peer_load> entries;
    for (std::size_t index = 0; index < rank_load_meter::max_ranks; ++index) {
        for (bool const is_reserved : {false, true}) {
            auto entry = entry_of(engines, index, is_reserved, now);
            entry.upstream = rank_load_key(service, index, is_reserved);
            if (entry.load.pending_prefill_tokens > 0
                || entry.load.urgent > 0) {
                entries.push_back(entry);
            }
        }
    }
    return entries;
}

rank_loads
rank_loads_of(std::string_view service,
              std::vector<peer_load> const& own,
              std::function<peer_load(std::uint32_t key)> const& others)
{
    rank_loads result;
    for (std::size_t index = 0; index < rank_load_meter::max_ranks; ++index) {
        for (bool const is_reserved : {false, true}) {
            auto const key = rank_load_key(service, index, is_reserved);
            upstream_load sum = others(key).load;
            for (peer_load const& item : own) {
                if (item.upstream == key) {
                    sum.add(item.load);
                }
            }
            auto& group = result.groups[is_reserved ? 1 : 0];
            group.tokens_per_second[index] =
                static_cast<double>(sum.pending_prefill_tokens) * unit_tokens;
            group.pending[index] = sum.urgent * unit_tokens;
        }
    }
    return result;
}

} // namespace caperjunction::routing
