#include "decide/placer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caperjunction::decide {

namespace {

// Two samples already avoid the worst engine; a few more find the prefix.
// Beyond that the gain is less than the cost of looking.
constexpr std::size_t max_samples = 4;
// Trust in a cached block fades as the engine's memory turns over.
constexpr double trust_seconds = 120.0;
// An engine takes work from the other region only while it is well below its
// bound: otherwise both sides send their overflow across, and pay for it.
constexpr double max_remote_load = 0.8;
constexpr double max_highest_tier_remote_load = 0.97;
// Between engines of equal first token the emptier one decodes faster.
constexpr double load_penalty_ms = 30.0;
// On the engines that fall to this host it knows most of the prompts that
// wait; on the others those of other hosts come as a surprise.
constexpr double unowned_penalty_ms = 80.0;
// No two hosts have as much of one engine.
constexpr double min_suspect_share = 0.51;
// By then the others' digests tell where their suspects run.
constexpr model::milliseconds suspect_delay{1000};
// Paid bytes have to buy a noticeable gain.
constexpr double remote_penalty_ms = 100.0;

} // namespace

struct placer::choice
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

double placer::choice::cached_tokens(index engine) const
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
    choice selected{waiting, engines, now, {}, tiers, {}};
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
    // The last room of an engine is the highest tier's alone.
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

void placer::sample(choice& selected, engine_set const& from)
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

bool placer::is_eligible(choice const& selected, index engine_index)
{
    engine_state const& engine = selected.engines.at(engine_index);
    entry const& waiting = selected.waiting;
    auto const& groups = engine.groups;
    if (std::find(groups.begin(), groups.end(), waiting.group)
        == groups.end()) {
        return false;
    }
    // The last room is for the highest tier, and for suspects that were
    // running: their room has been taken from them.
    engine_capacity const capacity =
        selected.engines.capacity_of(engine, selected.now);
    bool const is_resumed_suspect = waiting.suspect && waiting.attempt > 0;
    bool const may_use_reserve = waiting.tier == 0 || is_resumed_suspect;
    if (capacity == engine_capacity::none
        || (capacity == engine_capacity::highest_tier && !may_use_reserve)) {
        return false;
    }
    // The lowest tier leaves room to those between: its answers are the
    // longest as a rule, and what it holds comes free too late for them.
    bool const is_lowest_tier = waiting.tier > 0
                                && waiting.tier + 1 == selected.tiers
                                && !waiting.below_share;
    if (is_lowest_tier
        && !selected.engines.has_capacity_for_lowest(engine, selected.now)) {
        return false;
    }
    // A request in flight at a crash may be its cause. Kept apart, a second
    // crash tells which one it was, and costs the others nothing. Hosts hear
    // of each other's suspects late, so each keeps its own on the engines
    // that fall to it.
    if (!waiting.suspect) {
        return true;
    }
    bool const delay_over = selected.now - waiting.queued_at > suspect_delay;
    return engine.suspects + engine.peer_suspects == 0
           && (engine.owned_share >= min_suspect_share || delay_over);
}

void placer::evaluate(choice& selected, index engine_index)
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
    double const uncached = std::max(
        0.0,
        waiting.prompt_tokens + static_cast<double>(waiting.relayed_tokens)
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

void placer::evaluate_remote(choice& selected)
{
    region_capacity const& remote =
        selected.engines.groups()[selected.waiting.group].other_regions;
    double const bytes = link_budget::estimate(
        selected.waiting.prompt_tokens, selected.waiting.expected_output);
    if (!m_link.has_budget(bytes, selected.now)) {
        return;
    }
    sample_remote(selected, remote.any_tier, max_remote_load);
    // What the highest tier would lose here by waiting is worth its bytes.
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

void placer::sample_remote(choice& selected,
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
