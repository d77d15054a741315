#include "decide/outlier_detector.hpp"

#include <algorithm>
#include <array>

namespace caperjunction::decide {

namespace {

// Engines of a batch differ by tens of percent; a throttled or failing one by
// a factor.
constexpr double slow_factor = 2.2;
constexpr std::uint32_t telling_samples = 20;
// A long prompt beside them slows an engine's answers for a moment only.
constexpr model::milliseconds telling_time{1500};
constexpr std::size_t sampled_peers = 7;
constexpr std::size_t least_peers = 2;
// Never more than this share of a model's engines out at once: the evidence
// is relative, and a wrong judgement must not cost the capacity.
constexpr double most_ejected = 0.25;
constexpr model::milliseconds first_penalty{5000};
constexpr model::milliseconds longest_penalty{60'000};

bool out(engine_state const& engine)
{
    return engine.health == engine_health::ejected
           || engine.health == engine_health::lost;
}

} // namespace

outlier_detector::outlier_detector(std::uint64_t seed)
    : m_random(seed)
{
}

bool outlier_detector::slower(engine_table const& engines, index place)
{
    engine_state const& engine = engines.at(place);
    if (engine.health == engine_health::leaving || out(engine)
        || engine.gap_ms.samples() < telling_samples || engine.groups.empty()) {
        return false;
    }
    auto const& fellows = engines.groups()[engine.groups.front()].engines;
    std::array<double, sampled_peers> gaps{};
    std::size_t found = 0;
    std::size_t ejected = 0;
    std::size_t looked = 0;
    bool const few = fellows.size() <= sampled_peers * 2;
    std::size_t const looks = few ? fellows.size() : sampled_peers * 2;
    for (; looked < looks; ++looked) {
        index const other =
            few ? fellows[looked] : fellows[m_random() % fellows.size()];
        engine_state const& fellow = engines.at(other);
        ejected += out(fellow) ? 1 : 0;
        if (other != place && !out(fellow) && found < sampled_peers
            && fellow.gap_ms.samples() >= telling_samples) {
            gaps[found++] = fellow.gap_ms.value_or(0.0);
        }
    }
    double const would_be_out = static_cast<double>(ejected + 1);
    if (found < least_peers
        || would_be_out > most_ejected * static_cast<double>(looked)) {
        return false;
    }
    auto const middle = gaps.begin() + static_cast<std::ptrdiff_t>(found / 2);
    std::nth_element(gaps.begin(),
                     middle,
                     gaps.begin() + static_cast<std::ptrdiff_t>(found));
    return engine.gap_ms.value_or(0.0) > slow_factor * *middle;
}

bool outlier_detector::slow(engine_table& engines,
                            index place,
                            model::time_point now)
{
    engine_state& engine = engines.at(place);
    if (!slower(engines, place)) {
        engine.slow_since = {};
        return false;
    }
    if (engine.slow_since == model::time_point{}) {
        engine.slow_since = now;
    }
    return now - engine.slow_since >= telling_time;
}

model::milliseconds outlier_detector::penalty(engine_state& engine)
{
    engine.penalty =
        std::clamp(engine.penalty * 2, first_penalty, longest_penalty);
    return engine.penalty;
}

} // namespace caperjunction::decide
