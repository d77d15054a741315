#ifndef CAPERJUNCTION_ROUTING_AFFINITY_ORDER_HPP
#define CAPERJUNCTION_ROUTING_AFFINITY_ORDER_HPP

#include "routing/speed_weight.hpp"
#include "routing/upstream_state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// The engines with the highest scores for a prefix, weighted by speed class.
///
/// Thread safety: none; owned by one task.
class affinity_order
{
public:
    /// Affinity engines of one prefix. Each of them holds a copy of the prefix
    /// in its cache.
    static constexpr std::size_t max_affinity_engines = 4;

    /// Adds an engine with its `rendezvous_score`.
    void add(upstream_state const& engine, std::uint64_t score);

    /// Returns the best engines: up to `max_affinity_engines` and an overflow
    /// engine for the last of them.
    std::vector<upstream_state const*> best() const;

private:
    static constexpr std::size_t max_kept = max_affinity_engines + 1;

    struct scored_engine
    {
        std::uint64_t score = 0;
        upstream_state const* engine = nullptr;
    };

    /// Engines of one class, highest score first.
    struct class_order
    {
        std::array<scored_engine, max_kept> engines{};
        std::size_t count = 0;
    };

    std::array<class_order, speed_class_count> m_by_speed;
};

/// Returns how many engines, from the first of `order`, the requests of a
/// prefix need: between 1 and `affinity_order::max_affinity_engines`.
std::size_t
affinity_engine_count(std::vector<upstream_state const*> const& order,
                      double tokens_per_second);

/// Returns the position in `order` of the engine that a request has affinity
/// for, among the first `count`.
///
/// \pre `count` is at least 1 and at most the size of `order`.
std::size_t affinity_position(std::vector<upstream_state const*> const& order,
                              std::size_t count,
                              std::uint64_t request_hash);

} // namespace caperjunction::routing

#endif
