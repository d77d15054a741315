#include "routing/picker.hpp"

#include "routing/lane_size.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

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

double lateness(picker_settings const& weights,
                double forecast_ms,
                model::milliseconds target)
{
    double const share =
        forecast_ms / std::max(1.0, static_cast<double>(target.count()));
    double const late = std::max(
        0.0, (share - weights.safe_share) / (1.0 - weights.safe_share));
    return late + std::max(0.0, share - 1.0) * weights.cost_of_far_behind;
}

/// Notes in `into` that an upstream takes no request from this host now.
void leave_out(pick& into, upstream_state const& limited, model::time_point now)
{
    /// Longer waits are no use to a caller: another host may be next.
    constexpr model::milliseconds longest{2'000};
    ++into.limited;
    auto const next = limited.limit.next_send(now);
    if (next - now > longest) {
        return;
    }
    auto const wait = std::chrono::ceil<model::milliseconds>(next - now);
    into.comes_back = std::min(wait, into.comes_back.value_or(wait));
}

std::vector<upstream_ptr> able_of(std::vector<upstream_ptr> const& all,
                                  pick_request const& request,
                                  model::time_point now,
                                  pick& into)
{
    std::vector<upstream_ptr> able;
    std::vector<upstream_ptr> resting;
    for (upstream_ptr const& item : all) {
        if (was_tried(request, *item)) {
            continue;
        }
        if (!item->limit.may_send(now)) {
            leave_out(into, *item, now);
            continue;
        }
        (item->health.is_resting(now) ? resting : able).push_back(item);
    }
    // Where all rest, one of them is a better guess than a refusal.
    return able.empty() ? resting : able;
}

/// Between the two by how far the engines are behind on average.
double cost_of_cold_token(picker_settings const& weights,
                          std::vector<upstream_ptr> const& able,
                          model::milliseconds target)
{
    double unread = 0.0;
    for (upstream_ptr const& item : able) {
        unread += static_cast<double>(item->unread_tokens());
    }
    double const wait_ms = unread / weights.tokens_per_ms
                           / std::max(1.0, static_cast<double>(able.size()));
    double const allowed =
        static_cast<double>(target.count()) * weights.share_when_behind;
    double const behind =
        std::clamp(wait_ms / std::max(1.0, allowed), 0.0, 1.0);
    return (1.0 - behind) / weights.cold_tokens_when_free
           + behind / weights.cold_tokens_when_behind;
}

/// How long the most urgent stream waits for a place: less urgent ones give
/// theirs up.
double slot_wait_ms(picker_settings const& weights,
                    upstream_state const& candidate)
{
    double const slots = std::max(1U, candidate.about.slots);
    double const beyond = candidate.running() + 1.0 - slots;
    return std::max(0.0, beyond) / slots * weights.stay_ms;
}

/// How much of the way to a stream that pauses too long an engine has gone:
/// 0 up to a share of what is aimed at, 1 at the whole.
double pause_share(pick_request const& request,
                   model::milliseconds seen,
                   picker_settings const& weights)
{
    double const target =
        static_cast<double>(request.route->pause_target.count());
    if (target <= 0.0) {
        return 0.0;
    }
    double const share = static_cast<double>(seen.count()) / target;
    return std::clamp(
        (share - weights.safe_pause) / (1.0 - weights.safe_pause), 0.0, 1.0);
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

picker::picker(upstream_directory const& directory,
               picker_settings const& weights)
    : m_directory(directory)
    , m_weights(weights)
{
}

pick picker::choose(pick_request const& request, model::time_point now) const
{
    pick best;
    std::vector<upstream_ptr> const able =
        able_of(m_directory.of_service(request.service), request, now, best);
    pick const none = best;
    lanes const divided = divide(request, able);
    for (upstream_ptr const& item : able) {
        pick option = none;
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
        cost_of_cold_token(m_weights, able, request.route->latency_target);
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
    picker_settings::way const& path =
        m_weights.ways[static_cast<std::size_t>(candidate.away)];
    double const bytes =
        (static_cast<double>(request.body_bytes) + m_weights.answer_bytes)
        / m_weights.usual_bytes;
    double cost =
        path.cost * bytes
        + m_weights.cost_of_failure * candidate.health.failure_share(now);
    into.pace = candidate.pace(now);
    double at_usual_pace = 0.0;
    double wait = 0.0;
    if (request.prompt->tokens == 0) {
        double const slots = std::max(1U, candidate.about.slots);
        at_usual_pace =
            m_weights.service_ms * (1.0 + candidate.running() / slots);
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
        at_usual_pace = m_weights.base_ms + unread / m_weights.tokens_per_ms;
        wait =
            request.is_most_urgent ? slot_wait_ms(m_weights, candidate) : 0.0;
        cost += into.cold_tokens * divided.cost_of_cold_token;
        cost += m_weights.cost_of_pause
                * pause_share(request, into.pace.pause, m_weights);
        bool const is_urgent_lane = candidate.lane_place < divided.urgent;
        if (!request.is_most_urgent) {
            cost += std::min(m_weights.most_beside_urgent,
                             m_weights.beside_urgent * candidate.urgent());
        }
        if (is_urgent_lane && !request.is_most_urgent) {
            cost += m_weights.in_urgent_lane
                    + unread * m_weights.cost_of_urgent_delay;
        } else if (!is_urgent_lane && request.is_most_urgent) {
            cost += m_weights.out_of_urgent_lane;
        }
    }
    double const forecast = path.ms + at_usual_pace * into.pace.slowness + wait;
    into.forecast = model::milliseconds(std::lround(forecast));
    into.usual_forecast =
        model::milliseconds(std::lround(path.ms + at_usual_pace + wait));
    // The last term only settles ties: towards the one that answers first.
    return cost + lateness(m_weights, forecast, request.route->latency_target)
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

} // namespace caperjunction::routing
