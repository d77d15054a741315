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
constexpr double across_below = 0.8;
constexpr double highest_tier_across_below = 0.97;
// Between engines of equal first token the emptier one decodes faster.
constexpr double load_penalty_ms = 30.0;
// On the engines that fall to this host it knows most of the prompts that
// wait; on the others those of other hosts come as a surprise.
constexpr double foreign_penalty_ms = 80.0;
// No two hosts have as much of one engine.
constexpr double suspect_share = 0.51;
// By then the others' digests tell where their suspects run.
constexpr model::milliseconds suspect_patience{1000};
// Paid bytes have to buy a noticeable gain.
constexpr double across_penalty_ms = 100.0;

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
        double const fresh = std::exp(-holder.age.count() / trust_seconds);
        double const trust = engines.at(engine).cache_trust;
        return waiting.prompt_tokens * share * fresh * trust;
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
    choice own{waiting, engines, now, {}, tiers, {}};
    if (!waiting.prefix_blocks.empty()) {
        own.holders = prefixes.find(waiting.prefix_blocks, now);
    }
    model_group const& group = engines.groups()[waiting.group];
    for (prefix_holder const& holder : own.holders) {
        if (holder.engine != no_index && engines.at(holder.engine).own_region) {
            weigh(own, holder.engine);
        }
    }
    sample(own, group.own.owned);
    sample(own, group.own.any_tier);
    // The last room of an engine is the highest tier's alone.
    if ((waiting.tier == 0 || waiting.attempt > 0)
        && own.best.engine == no_index) {
        sample(own, group.own.highest_tier);
    }
    if (own.best.engine == no_index) {
        weigh_across(own);
    }
    return std::move(own.best);
}

void placer::use(placement const& chosen, model::time_point now)
{
    if (chosen.link_bytes > 0.0) {
        m_link.take(chosen.link_bytes, now);
    }
}

void placer::sample(choice& own, open_list const& from)
{
    std::vector<index> const& open = from.engines();
    if (open.size() <= max_samples) {
        for (index const engine : open) {
            weigh(own, engine);
        }
        return;
    }
    for (std::size_t count = 0; count < max_samples; ++count) {
        weigh(own, open[m_random() % open.size()]);
    }
}

bool placer::allowed(choice const& own, index place)
{
    engine_state const& engine = own.engines.at(place);
    entry const& waiting = own.waiting;
    auto const& groups = engine.groups;
    if (std::find(groups.begin(), groups.end(), waiting.group)
        == groups.end()) {
        return false;
    }
    // The last room is for the highest tier, and for suspects that were
    // running: their room has been taken from them.
    room const room = own.engines.room_of(engine, own.now);
    bool const resumed = waiting.suspect && waiting.attempt > 0;
    bool const last_room = waiting.tier == 0 || resumed;
    if (room == room::none || (room == room::highest_tier && !last_room)) {
        return false;
    }
    // The lowest tier leaves room to those between: its answers are the
    // longest as a rule, and what it holds comes free too late for them.
    bool const lowest =
        waiting.tier > 0 && waiting.tier + 1 == own.tiers && !waiting.owed;
    if (lowest && !own.engines.room_for_lowest(engine, own.now)) {
        return false;
    }
    // A request in flight at a crash may be its cause. Kept apart, a second
    // crash tells which one it was, and costs the others nothing. Hosts hear
    // of each other's suspects late, so each keeps its own on the engines
    // that fall to it.
    if (!waiting.suspect) {
        return true;
    }
    bool const patience_over = own.now - waiting.queued_at > suspect_patience;
    return engine.suspects + engine.peer_suspects == 0
           && (engine.owned >= suspect_share || patience_over);
}

void placer::weigh(choice& own, index place)
{
    engine_state const& engine = own.engines.at(place);
    entry const& waiting = own.waiting;
    for (candidate const& known : own.best.candidates) {
        if (known.upstream == engine.name) {
            return;
        }
    }
    if (!allowed(own, place)) {
        return;
    }
    double const uncached =
        std::max(0.0,
                 waiting.prompt_tokens + static_cast<double>(waiting.relayed)
                     - own.cached_tokens(place));
    model::milliseconds predicted = engine.predict_first_token(
        uncached,
        own.engines.groups()[waiting.group].prefill.tokens_per_second(),
        own.now);
    double score = static_cast<double>(predicted.count());
    score += load_penalty_ms * engine.outstanding(own.now)
             / std::max(1.0, engine.bound());
    score += foreign_penalty_ms * (1.0 - engine.owned);
    if (!engine.own_region) {
        predicted += m_link_delay;
        score += static_cast<double>(m_link_delay.count()) + across_penalty_ms;
    }
    if (waiting.avoided == place || engine.suspects > 0) {
        score += 10'000.0;
    }
    own.best.candidates.push_back({engine.name, predicted});
    if (score < own.best_score) {
        own.best_score = score;
        own.best.engine = place;
        own.best.predicted = predicted;
        own.best.prefill = uncached;
    }
}

void placer::weigh_across(choice& own)
{
    region_room const& others = own.engines.groups()[own.waiting.group].others;
    double const bytes = link_budget::estimate(own.waiting.prompt_tokens,
                                               own.waiting.expected_output);
    if (!m_link.allows(bytes, own.now)) {
        return;
    }
    sample_across(own, others.any_tier, across_below);
    // What the highest tier would lose here by waiting is worth its bytes.
    if (own.waiting.tier == 0 && own.best.engine == no_index) {
        sample_across(own, others.any_tier, highest_tier_across_below);
    }
    if (own.waiting.tier == 0 && own.best.engine == no_index) {
        sample_across(own, others.highest_tier, highest_tier_across_below);
    }
    if (own.best.engine != no_index) {
        own.best.link_bytes = bytes;
    }
}

void placer::sample_across(choice& own, open_list const& from, double below)
{
    std::vector<index> const& open = from.engines();
    std::size_t const count = std::min(open.size(), max_samples);
    for (std::size_t tried = 0; tried < count; ++tried) {
        index const place = open[m_random() % open.size()];
        engine_state const& engine = own.engines.at(place);
        if (engine.outstanding(own.now) < below * engine.bound()) {
            weigh(own, place);
        }
    }
}

} // namespace caperjunction::decide
