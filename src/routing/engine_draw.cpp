#include "routing/engine_draw.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace caperjunction::routing {
namespace {

using scored_engine = std::pair<std::uint64_t, upstream_ptr>;

/// Returns the engine with the lowest score that the host has an idle
/// connection to; null if there is none.
upstream_ptr first_idle(std::vector<scored_engine> const& engines,
                        engine_draw const& by)
{
    scored_engine const* best = nullptr;
    if (by.has_idle_connection) {
        for (scored_engine const& item : engines) {
            if ((best == nullptr || item.first < best->first)
                && by.has_idle_connection(*item.second)) {
                best = &item;
            }
        }
    }
    return best == nullptr ? nullptr : best->second;
}

/// Returns 0 for a reserved engine and 1 for others.
std::size_t group_of(upstream_state const& engine, engine_draw const& by)
{
    return engine.reservation_rank < by.reserved ? 0 : 1;
}

/// Returns the lowest score of an engine in the subset of each group; 0 if the
/// subset is the whole group.
std::array<std::uint64_t, 2>
lowest_in_subset(std::vector<upstream_ptr> const& usable, engine_draw const& by)
{
    std::array<std::uint64_t, 2> lowest{};
    if (!by.subset_key || by.subset_size == 0) {
        return lowest;
    }
    std::array<std::vector<std::uint64_t>, 2> scores;
    for (upstream_ptr const& item : usable) {
        scores[group_of(*item, by)].push_back(
            rendezvous_score(item->description.id, *by.subset_key));
    }
    for (std::size_t group = 0; group < scores.size(); ++group) {
        auto& all = scores[group];
        if (all.size() > by.subset_size) {
            auto const last =
                all.begin() + static_cast<std::ptrdiff_t>(by.subset_size - 1);
            std::nth_element(all.begin(), last, all.end(), std::greater<>());
            lowest[group] = *last;
        }
    }
    return lowest;
}

} // namespace

std::vector<upstream_ptr> draw_engines(std::vector<upstream_ptr> const& usable,
                                       engine_draw const& by)
{
    std::array<std::vector<scored_engine>, 2> groups;
    std::vector<upstream_ptr> drawn;
    auto const lowest = lowest_in_subset(usable, by);
    for (upstream_ptr const& item : usable) {
        if (item.get() == by.affinity_engine
            || item.get() == by.overflow_engine) {
            if (!by.is_beyond_subset) {
                drawn.push_back(item);
            }
            continue;
        }
        std::size_t const group = group_of(*item, by);
        std::string const& id = item->description.id;
        bool const is_in_subset =
            lowest[group] == 0
            || rendezvous_score(id, *by.subset_key) >= lowest[group];
        if (is_in_subset != by.is_beyond_subset) {
            groups[group].emplace_back(rendezvous_score(id, by.request_hash),
                                       item);
        }
    }
    for (auto& group : groups) {
        auto const count = std::min(by.count, group.size());
        auto const rest = group.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(group.begin(), rest, group.end());
        for (auto at = group.begin(); at != rest; ++at) {
            drawn.push_back(at->second);
        }
        if (auto const idle = first_idle({rest, group.end()}, by)) {
            drawn.push_back(idle);
        }
    }
    return drawn;
}

} // namespace caperjunction::routing
