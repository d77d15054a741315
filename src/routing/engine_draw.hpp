#ifndef CAPERJUNCTION_ROUTING_ENGINE_DRAW_HPP
#define CAPERJUNCTION_ROUTING_ENGINE_DRAW_HPP

#include "routing/upstream_state.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace caperjunction::routing {

/// What the engines that a prompt considers are drawn by.
struct engine_draw
{
    /// Always considered; may be null.
    upstream_state const* affinity_engine = nullptr;
    upstream_state const* overflow_engine = nullptr;
    /// Engines with a lower reservation rank are reserved for urgent streams.
    std::size_t reserved = 0;
    /// Engines to draw from those that are reserved, and from the others.
    std::size_t count = 2;
    /// Differs between requests.
    std::uint64_t request_hash = 0;
    /// Selects the subset of each group that engines are drawn from, the same
    /// for all requests of a host; no value: the whole groups.
    std::optional<std::uint64_t> subset_key;
    /// With 8 engines of 79, the busiest one gets 1.7 times the mean number of
    /// requests of 66 hosts; with 24 it gets 1.4 times.
    std::size_t subset_size = 24;
    /// Only engines outside the subsets are drawn.
    bool is_beyond_subset = false;
    /// Returns whether the host has an idle connection to an engine. If set,
    /// one such engine of each group is drawn in addition.
    std::function<bool(upstream_state const&)> has_idle_connection;
};

/// Returns the engines of `usable` that a prompt considers.
///
/// Answers bursts. Loads are as old as the time between two digests, and all
/// hosts read the same ones. If each placed its prompts on the engine with the
/// least cost of all, the engines that were idle at that time would get the
/// prompts of the whole fleet, and all of these would wait. Among few engines,
/// drawn anew for each request, the less loaded ones get more requests, but
/// never all.
///
/// A subset answers hosts with few requests in front of many engines, which
/// would use most connections once. It consists of the engines with the highest
/// scores in rendezvous hashing, so that only an engine that leaves is
/// replaced.
///
/// Thread safety: any thread.
std::vector<upstream_ptr> draw_engines(std::vector<upstream_ptr> const& usable,
                                       engine_draw const& by);

} // namespace caperjunction::routing

#endif
