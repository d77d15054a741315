#include "routing/picker.hpp"

#include "routing/lane_size.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Prompt tokens that an engine reads in a millisecond, before `slowness`
/// has corrected the forecast.
constexpr double tokens_per_ms = 60.0;
/// Time to a first byte beside reading the prompt.
constexpr double base_ms = 60.0;
/// The same at a plain service.
constexpr double service_ms = 15.0;

/// What an urgent stream loses beside long prompts.
constexpr double out_of_urgent_lane = 0.4;
/// What it costs the urgent streams to have another prompt beside them: a
/// short one that nothing else delays costs less than being late, and 4,000
/// tokens, a whole step's worth, as much as being late.
constexpr double in_urgent_lane = 0.1;
constexpr double cost_of_urgent_delay = 1.0 / 4'000;

/// What is read anew delays all others at that engine. While engines have
/// time, reading 5,000 shared tokens once more weighs as much as a request
/// that is late, and a subject that many ask for is spread. When all of them
/// are behind, 1,250 do: else prompts leave their busy homes, engines read the
/// same parts over and over, and the overload feeds itself. On a fleet of 71
/// hosts under bursts of 2.2 times the usual traffic, callers got 0.700 of the
/// worth with 10,000 tokens and 0.749 with 1,250 (two plays of one day).
constexpr double cold_tokens_when_free = 5'000;
constexpr double cold_tokens_when_behind = 2'000;
/// Engines are behind when the prompts that wait take this share of the time
/// that is aimed at.
constexpr double share_when_behind = 0.25;
/// Half of the time that is aimed at may pass without harm.
constexpr double safe_share = 0.5;
/// Beyond it the deadline comes near, and with it an answer that is cut.
constexpr double cost_of_far_behind = 2.0;
/// A failing upstream is worse than a late one: its caller gets nothing.
constexpr double cost_of_failure = 2.0;

struct way
{
    double ms;
    /// Share of a request's worth, for a body of `usual_bytes`.
    double cost;
};

constexpr double usual_bytes = 18'000;
constexpr way ways[] = {{0.0, 0.0}, {3.0, 0.02}, {18.0, 0.08}};

bool was_tried(pick_request const& request, upstream_state const& candidate)
{
    return request.tried != nullptr
           && std::find(request.tried->begin(),
                        request.tried->end(),
                        candidate.about.id)
                  != request.tried->end();
}

std::uint64_t rendezvous(std::string const& id, std::uint64_t key)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

double lateness(double forecast_ms, model::milliseconds target)
{
    double const share =
        forecast_ms / std::max(1.0, static_cast<double>(target.count()));
    double const late =
        std::max(0.0, (share - safe_share) / (1.0 - safe_share));
    return late + std::max(0.0, share - 1.0) * cost_of_far_behind;
}

std::vector<upstream_ptr> able_of(std::vector<upstream_ptr> const& all,
                                  pick_request const& request,
                                  model::time_point now)
{
    std::vector<upstream_ptr> able;
    std::vector<upstream_ptr> resting;
    for (upstream_ptr const& item : all) {
        if (was_tried(request, *item)) {
            continue;
        }
        (item->health.is_resting(now) ? resting : able).push_back(item);
    }
    // Where all rest, one of them is a better guess than a refusal.
    return able.empty() ? resting : able;
}

/// Between the two by how far the engines are behind on average.
double cost_of_cold_token(std::vector<upstream_ptr> const& able,
                          model::milliseconds target)
{
    double unread = 0.0;
    for (upstream_ptr const& item : able) {
        unread += static_cast<double>(item->unread_tokens());
    }
    double const wait_ms = unread / tokens_per_ms
                           / std::max(1.0, static_cast<double>(able.size()));
    double const allowed =
        static_cast<double>(target.count()) * share_when_behind;
    double const behind =
        std::clamp(wait_ms / std::max(1.0, allowed), 0.0, 1.0);
    return (1.0 - behind) / cold_tokens_when_free
           + behind / cold_tokens_when_behind;
}

/// How long the most urgent stream waits for a place: less urgent ones give
/// theirs up. While 22 engines held up to 85 chats in 48 slots, first events
/// came after 0.9 s where 0.13 s was forecast; with the wait in the forecast
/// callers got 0.782 of the worth of that day, and 0.739 without.
double slot_wait_ms(upstream_state const& candidate)
{
    // A chat of some 280 tokens; streams end one by one.
    constexpr double stay_ms = 2'000;
    double const slots = std::max(1U, candidate.about.slots);
    double const beyond = candidate.running() + 1.0 - slots;
    return std::max(0.0, beyond) / slots * stay_ms;
}

double mean_slots(std::vector<upstream_ptr> const& all)
{
    double sum = 0.0;
    for (upstream_ptr const& item : all) {
        sum += item->about.slots;
    }
    return sum / std::max(1.0, static_cast<double>(all.size()));
}

} // namespace

picker::picker(upstream_directory const& directory)
    : m_directory(directory)
{
}

pick picker::choose(pick_request const& request, model::time_point now) const
{
    std::vector<upstream_ptr> const able =
        able_of(m_directory.of_service(request.service), request, now);
    lanes const divided = divide(request, able);
    pick best;
    for (upstream_ptr const& item : able) {
        pick option;
        option.to = item;
        option.cost = cost_of(request, *item, divided, now, option);
        if (!best.to || option.cost < best.cost) {
            best = option;
        }
    }
    best.candidates = able.size();
    best.lane = divided.urgent;
    if (best.to) {
        best.running = best.to->running();
        best.unread_tokens = best.to->unread_tokens();
    }
    return best;
}

picker::lanes picker::divide(pick_request const& request,
                             std::vector<upstream_ptr> const& able) const
{
    lanes divided;
    if (request.prompt->tokens == 0) {
        return divided;
    }
    divided.cost_of_cold_token =
        cost_of_cold_token(able, request.route->latency_target);
    // Engines that rest keep their place: else the others' prompts would move
    // too.
    auto const& all = m_directory.lane_order(request.service);
    lane_facts facts;
    facts.engines = all.size();
    facts.slots = mean_slots(all);
    facts.urgent_streams = request.urgent_streams;
    divided.urgent = lane_size(facts);
    std::uint64_t best = 0;
    std::uint64_t second_best = 0;
    for (upstream_ptr const& item : able) {
        bool const is_urgent_lane = item->lane_place < divided.urgent;
        std::uint64_t const score =
            rendezvous(item->about.id, request.prompt->subject());
        if (is_urgent_lane != request.is_most_urgent) {
            continue;
        }
        if (score >= best) {
            second_best = std::exchange(best, score);
            divided.second_home = std::exchange(divided.home, item.get());
        } else if (score >= second_best) {
            second_best = score;
            divided.second_home = item.get();
        }
    }
    return divided;
}

double picker::cost_of(pick_request const& request,
                       upstream_state const& candidate,
                       lanes const& divided,
                       model::time_point now,
                       pick& into) const
{
    way const& path = ways[static_cast<std::size_t>(candidate.away)];
    double const bytes =
        static_cast<double>(request.body_bytes + 1'000) / usual_bytes;
    double cost = path.cost * bytes
                  + cost_of_failure * candidate.health.failure_share(now);
    double forecast = path.ms;
    if (request.prompt->tokens == 0) {
        double const slots = std::max(1U, candidate.about.slots);
        forecast += service_ms * candidate.slowness
                    * (1.0 + candidate.running() / slots);
    } else {
        std::uint32_t const shared = request.prompt->shared_tokens();
        into.cold_tokens = &candidate == divided.home
                               ? 0
                               : cold_tokens(*request.prompt, candidate, now);
        // What one home can't take goes to the same second one from all
        // hosts: spread over all engines it would be read anew at each, and
        // an overload would feed itself.
        if (&candidate == divided.second_home) {
            into.cold_tokens /= 2;
        }
        double const unread =
            static_cast<double>(candidate.unread_tokens() + into.cold_tokens
                                + request.prompt->tokens)
            - shared;
        forecast += (base_ms + unread / tokens_per_ms) * candidate.slowness
                    + (request.is_most_urgent ? slot_wait_ms(candidate) : 0.0);
        cost += into.cold_tokens * divided.cost_of_cold_token;
        bool const is_urgent_lane = candidate.lane_place < divided.urgent;
        if (is_urgent_lane && !request.is_most_urgent) {
            cost += in_urgent_lane + unread * cost_of_urgent_delay;
        } else if (!is_urgent_lane && request.is_most_urgent) {
            cost += out_of_urgent_lane;
        }
    }
    into.forecast = model::milliseconds(std::lround(forecast));
    // The last term only settles ties: towards the one that answers first.
    return cost + lateness(forecast, request.route->latency_target)
           + forecast * 1e-4;
}

// A part is kept only behind all that stand before it.
std::uint32_t picker::cold_tokens(prompt const& asked,
                                  upstream_state const& candidate,
                                  model::time_point now) const
{
    std::uint32_t cold = asked.shared_tokens();
    for (std::size_t place = 0; place + 1 < asked.parts.size(); ++place) {
        prompt_part const& part = asked.parts[place];
        if (!m_memory.holds(candidate.about.id, part.id, now)) {
            break;
        }
        cold -= part.tokens;
    }
    return cold;
}

void picker::record_sent(pick_request const& request,
                         upstream_state const& chosen,
                         model::time_point now)
{
    auto const& parts = request.prompt->parts;
    for (std::size_t place = 0; place + 1 < parts.size(); ++place) {
        m_memory.record(chosen.about.id, parts[place].id, now);
    }
}

void picker::record_first_byte(upstream_state& chosen,
                               model::milliseconds forecast,
                               model::milliseconds took)
{
    // Slow to believe and bounded: one long answer says little.
    constexpr double weight = 0.1;
    constexpr double most = 8.0;
    double const ratio = static_cast<double>(took.count())
                         / std::max(1.0, static_cast<double>(forecast.count()));
    double const target = std::clamp(chosen.slowness * ratio, 0.25, most);
    chosen.slowness = chosen.slowness * (1.0 - weight) + target * weight;
}

} // namespace caperjunction::routing
