#include "routing/affinity_order.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>

namespace caperjunction::routing {

void affinity_order::add(upstream_state const& engine, std::uint64_t score)
{
    class_order& order = m_by_speed[static_cast<std::size_t>(engine.speed)];
    std::size_t position = order.count;
    while (position > 0 && score >= order.engines[position - 1].score) {
        --position;
    }
    if (position == max_kept) {
        return;
    }
    order.count = std::min(order.count + 1, max_kept);
    for (std::size_t index = order.count - 1; index > position; --index) {
        order.engines[index] = order.engines[index - 1];
    }
    order.engines[position] = {score, &engine};
}

// Within a class, the order of the weighted scores is that of the scores.
// Logarithms are therefore needed only for the first engine of each class.
std::vector<upstream_state const*> affinity_order::best() const
{
    std::array<std::size_t, speed_class_count> next{};
    std::array<double, speed_class_count> scores{};
    auto const score_next = [&](std::size_t speed) {
        class_order const& order = m_by_speed[speed];
        scores[speed] =
            next[speed] < order.count
                ? weighted_score(order.engines[next[speed]].score,
                                 speed_weight(static_cast<speed_class>(speed)))
                : 0.0;
    };
    for (std::size_t speed = 0; speed < speed_class_count; ++speed) {
        score_next(speed);
    }
    std::vector<upstream_state const*> engines;
    engines.reserve(max_kept);
    while (engines.size() < max_kept) {
        auto const highest = std::max_element(scores.begin(), scores.end());
        if (*highest <= 0.0) {
            break;
        }
        auto const speed = static_cast<std::size_t>(highest - scores.begin());
        engines.push_back(m_by_speed[speed].engines[next[speed]].engine);
        ++next[speed];
        score_next(speed);
    }
    return engines;
}

std::size_t
affinity_engine_count(std::vector<upstream_state const*> const& order,
                      double tokens_per_second)
{
    // Leaves the rest of an engine for its other prefixes and for the variation
    // of arrivals.
    constexpr double usable_share = 0.5;
    constexpr double ms_per_second = 1'000.0;
    std::size_t const max_count =
        std::min(affinity_order::max_affinity_engines, order.size());
    double covered = 0.0;
    for (std::size_t index = 0; index < max_count; ++index) {
        covered +=
            order[index]->capacity.tokens_per_ms * ms_per_second * usable_share;
        if (covered >= tokens_per_second) {
            return index + 1;
        }
    }
    return std::max<std::size_t>(1, max_count);
}

std::size_t affinity_position(std::vector<upstream_state const*> const& order,
                              std::size_t count,
                              std::uint64_t request_hash)
{
    if (count == 1) {
        return 0;
    }
    std::size_t best = 0;
    double best_score = 0.0;
    for (std::size_t index = 0; index < count; ++index) {
        upstream_state const& engine = *order[index];
        double const score = weighted_score(
            rendezvous_score(engine.description.id, request_hash),
            speed_weight(engine.speed));
        if (score > best_score) {
            best_score = score;
            best = index;
        }
    }
    return best;
}

} // namespace caperjunction::routing
