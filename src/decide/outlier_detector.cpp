#include "decide/outlier_detector.hpp"

#include <algorithm>
#include <array>

namespace caperjunction::decide {

namespace {

// Engines of the same type differ by tens of percent; a throttled or failing
// one differs by a factor.
constexpr double slow_factor = 2.2;
constexpr std::uint32_t min_samples = 20;
// A long prompt in the same batch slows an engine only briefly.
constexpr model::milliseconds min_slow_duration{1500};
constexpr std::size_t sampled_peers = 7;
constexpr std::size_t min_peers = 2;
// Maximum share of a model's engines out of service at once. The evidence is
// relative, and wrong decisions must not remove the capacity.
constexpr double max_ejected_share = 0.25;
constexpr model::milliseconds initial_penalty{5000};
constexpr model::milliseconds max_penalty{60'000};

bool is_out(engine_state const& engine)
{
    return engine.health == engine_health::ejected
           || engine.health == engine_health::lost;
}

} // namespace

outlier_detector::outlier_detector(std::uint64_t seed)
    : m_random(seed)
{
}

bool outlier_detector::is_slower_than_peers(engine_table const& engines,
                                            index engine_index)
{
    engine_state const& engine = engines.at(engine_index);
    if (engine.health == engine_health::leaving || is_out(engine)
        || engine.gap_ms.samples() < min_samples || engine.groups.empty()) {
        return false;
    }
    auto const& peers = engines.groups()[engine.groups.front()].engines;
    std::array<double, sampled_peers> gaps{};
    std::size_t found = 0;
    std::size_t ejected = 0;
    std::size_t sampled = 0;
    bool const samples_all = peers.size() <= sampled_peers * 2;
    std::size_t const sample_count =
        samples_all ? peers.size() : sampled_peers * 2;
    for (; sampled < sample_count; ++sampled) {
        index const peer_index =
            samples_all ? peers[sampled] : peers[m_random() % peers.size()];
        engine_state const& peer_state = engines.at(peer_index);
        ejected += is_out(peer_state) ? 1 : 0;
        if (peer_index != engine_index && !is_out(peer_state)
            && found < sampled_peers
            && peer_state.gap_ms.samples() >= min_samples) {
            gaps[found++] = peer_state.gap_ms.value_or(0.0);
        }
    }
    double const out_after_ejection = static_cast<double>(ejected + 1);
    if (found < min_peers
        || out_after_ejection
               > max_ejected_share * static_cast<double>(sampled)) {
        return false;
    }
    auto const median = gaps.begin() + static_cast<std::ptrdiff_t>(found / 2);
    std::nth_element(gaps.begin(),
                     median,
                     gaps.begin() + static_cast<std::ptrdiff_t>(found));
    return engine.gap_ms.value_or(0.0) > slow_factor * *median;
}

bool outlier_detector::is_outlier(engine_table& engines,
                                  index engine_index,
                                  model::time_point now)
{
    engine_state& engine = engines.at(engine_index);
    if (!is_slower_than_peers(engines, engine_index)) {
        engine.slow_since = {};
        return false;
    }
    if (engine.slow_since == model::time_point{}) {
        engine.slow_since = now;
    }
    return now - engine.slow_since >= min_slow_duration;
}

model::milliseconds outlier_detector::next_penalty(engine_state& engine)
{
    engine.penalty =
        std::clamp(engine.penalty * 2, initial_penalty, max_penalty);
    return engine.penalty;
}

} // namespace caperjunction::decide
