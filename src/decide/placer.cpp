#include "decide/placer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caperjunction::decide {

namespace {

// Two samples already avoid the worst engine, a few more find the prefix;
// further samples cost more than they gain.
constexpr std::size_t max_samples = 4;
// Confidence in a cached block decays as the engine's memory turns over.
constexpr double trust_seconds = 120.0;
// Engines of the other region get requests only while they are well below their
// limit. Otherwise both regions send their overflow across and pay for it.
constexpr double max_remote_load = 0.8;
constexpr double max_highest_tier_remote_load = 0.97;
// Of two engines with equal predictions, the less loaded one decodes faster.
constexpr double load_penalty_ms = 30.0;
// This host knows most pending prompts of the engines assigned to it. On other
// engines, the prompts of other hosts add unknown delay.
constexpr double unowned_penalty_ms = 80.0;
// Two hosts cannot both own this share of one engine.
constexpr double min_suspect_share = 0.51;
// Digests show within this time where the suspects of other hosts run.
constexpr model::milliseconds suspect_delay{1000};
// Transferred bytes are paid and must gain noticeable time.
constexpr double remote_penalty_ms = 100.0;

} // namespace

struct placer::selection
{
    entry const& waiting;
    engine_table const& engines;
    model::time_point now;
    prefix_index::holders holders;
    std::size_t tiers = 1;
    placement best;
    double best_score = std::numeric_limits<double>::max();

    double cached_tokens(index engine) const;
};

double placer::selection::cached_tokens(index engine) const
{
    if (waiting.prefix_blocks.empty()) {
        return 0.0;
    }
    for (prefix_holder const& holder : holders) {
        if (holder.engine != engine) {
            continue;
        }
        double const share =
            static_cast<double>(holder.blocks)
            / static_cast<double>(waiting.prefix_blocks.size());
        double const recency = std::exp(-holder.age.count() / trust_seconds);
        double const trust = engines.at(engine).cache_trust;
        return waiting.prompt_tokens * share * recency * trust;
    }
    return 0.0;
}

placer::placer(std::uint64_t seed,
               double link_bytes_per_second,
               model::milliseconds link_delay)
    : m_random(seed)
    , m_link(link_bytes_per_second)
    , m_link_delay(link_delay)
{
}

placement placer::place(entry const& waiting,
                        engine_table const& engines,
                        prefix_index const& prefixes,
                        std::size_t tiers,
                        model::time_point now)
{
    selection selected{waiting, engines, now, {}, tiers, {}};
    if (!waiting.prefix_blocks.empty()) {
        selected.holders = prefixes.find(waiting.prefix_blocks, now);
    }
    model_group const& group = engines.groups()[waiting.group];
    for (prefix_holder const& holder : selected.holders) {
        if (holder.engine != no_index && engines.at(holder.engine).own_region) {
            evaluate(selected, holder.engine);
        }
    }
    sample(selected, group.own_region.owned);
    sample(selected, group.own_region.any_tier);
    // The reserve is for the highest tier; `is_eligible` also admits suspects
    // that were running.
    if ((waiting.tier == 0 || waiting.attempt > 0)
        && selected.best.engine == no_index) {
        sample(selected, group.own_region.highest_tier);
    }
    if (selected.best.engine == no_index) {
        evaluate_remote(selected);
    }
    return std::move(selected.best);
}

void placer::charge_link(placement const& chosen, model::time_point now)
{
    if (chosen.link_bytes > 0.0) {
        m_link.consume(chosen.link_bytes, now);
    }
}

void placer::sample(selection& selected, engine_set const& from)
{
    std::vector<index> const& available = from.engines();
    if (available.size() <= max_samples) {
        for (index const engine : available) {
            evaluate(selected, engine);
        }
        return;
    }
    for (std::size_t count = 0; count < max_samples; ++count) {
        evaluate(selected, available[m_random() % available.size()]);
    }
}

bool placer::is_eligible(selection const& selected, index engine_index)
{
    engine_state const& engine = selected.engines.at(engine_index);
    entry const& waiting = selected.waiting;
    auto const& groups = engine.groups;
    if (std::find(groups.begin(), groups.end(), waiting.group)
        == groups.end()) {
        return false;
    }
    if (waiting.software != no_index && waiting.software != engine.software) {
        return false;
    }
    // The reserve is for the highest tier, and for suspects that were running
    // and have lost their slot.
    engine_capacity const capacity =
        selected.engines.capacity_of(engine, selected.now);
    bool const is_resumed_suspect = waiting.suspect && waiting.attempt > 0;
    bool const may_use_reserve = waiting.tier == 0 || is_resumed_suspect;
    if (capacity == engine_capacity::none
        || (capacity == engine_capacity::highest_tier && !may_use_reserve)) {
        return false;
    }
    // The lowest tier leaves capacity to the tiers above: its answers are
    // usually the longest, and its slots become free too late for them.
    bool const is_lowest_tier = waiting.tier > 0
                                && waiting.tier + 1 == selected.tiers
                                && !waiting.below_share;
    if (is_lowest_tier
        && !selected.engines.has_capacity_for_lowest(engine, selected.now)) {
        return false;
    }
    // A request in flight during a crash may be its cause. If suspects run on
    // separate engines, a second crash identifies the cause at no cost to the
    // others. Hosts learn of each other's suspects with a delay, so each host
    // uses the engines assigned to it.
    if (!waiting.suspect) {
        return true;
    }
    bool const delay_over = selected.now - waiting.queued_at > suspect_delay;
    return engine.suspects + engine.peer_suspects == 0
           && (engine.owned_share >= min_suspect_share || delay_over);
}

void placer::evaluate(selection& selected, index engine_index)
{
    engine_state const& engine = selected.engines.at(engine_index);
    entry const& waiting = selected.waiting;
    for (candidate const& scored : selected.best.candidates) {
        if (scored.upstream == engine.name) {
            return;
        }
    }
    if (!is_eligible(selected, engine_index)) {
        return;
    }
    double const uncached =
        std::max(0.0,
                 waiting.prompt_tokens + static_cast<double>(waiting.relayed)
                     - selected.cached_tokens(engine_index));
    model::milliseconds predicted =
        engine.predict_first_token(uncached,
                                   selected.engines.groups()[waiting.group]
                                       .prefill_estimate.tokens_per_second(),
                                   selected.now);
    double score = static_cast<double>(predicted.count());
    score += load_penalty_ms * engine.outstanding(selected.now)
             / std::max(1.0, engine.concurrency_limit());
    score += unowned_penalty_ms * (1.0 - engine.owned_share);
    if (!engine.own_region) {
        predicted += m_link_delay;
        score += static_cast<double>(m_link_delay.count()) + remote_penalty_ms;
    }
    if (waiting.avoided_upstream == engine_index || engine.suspects > 0) {
        score += 10'000.0;
    }
    selected.best.candidates.push_back({engine.name, predicted});
    if (score < selected.best_score) {
        selected.best_score = score;
        selected.best.engine = engine_index;
        selected.best.predicted = predicted;
        selected.best.prefill_tokens = uncached;
    }
}

void placer::evaluate_remote(selection& selected)
{
    region_capacity const& remote =
        selected.engines.groups()[selected.waiting.group].other_regions;
    double const bytes = link_budget::estimate(
        selected.waiting.prompt_tokens, selected.waiting.expected_output);
    if (!m_link.has_budget(bytes, selected.now)) {
        return;
    }
    sample_remote(selected, remote.any_tier, max_remote_load);
    // The highest tier would lose more by waiting here than the bytes cost.
    if (selected.waiting.tier == 0 && selected.best.engine == no_index) {
        sample_remote(selected, remote.any_tier, max_highest_tier_remote_load);
    }
    if (selected.waiting.tier == 0 && selected.best.engine == no_index) {
        sample_remote(
            selected, remote.highest_tier, max_highest_tier_remote_load);
    }
    if (selected.best.engine != no_index) {
        selected.best.link_bytes = bytes;
    }
}

void placer::sample_remote(selection& selected,
                           engine_set const& from,
                           double max_load)
{
    std::vector<index> const& available = from.engines();
    std::size_t const count = std::min(available.size(), max_samples);
    for (std::size_t sampled = 0; sampled < count; ++sampled) {
        index const engine_index = available[m_random() % available.size()];
        engine_state const& engine = selected.engines.at(engine_index);
        if (engine.outstanding(selected.now)
            < max_load * engine.concurrency_limit()) {
            evaluate(selected, engine_index);
        }
    }
}

} // namespace caperjunction::decide
