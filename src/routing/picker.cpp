#include "routing/picker.hpp"

#include "routing/reserved_engines.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

bool was_attempted(pick_request const& request, upstream_state const& candidate)
{
    return request.attempted != nullptr
           && std::find(request.attempted->begin(),
                        request.attempted->end(),
                        candidate.description.id)
                  != request.attempted->end();
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
    return late + std::max(0.0, share - 1.0) * weights.cost_per_missed_target;
}

/// Notes in `into` that an upstream takes no request from this host now.
void record_limited(pick& result,
                    upstream_state const& limited,
                    model::time_point now)
{
    /// Longer waits are no use to a caller: another host may be next.
    constexpr model::milliseconds longest{2'000};
    ++result.limited;
    auto const next = limited.limit.next_send(now);
    if (next - now > longest) {
        return;
    }
    auto const wait = std::chrono::ceil<model::milliseconds>(next - now);
    result.retry_after = std::min(wait, result.retry_after.value_or(wait));
}

std::vector<upstream_ptr> usable_upstreams(std::vector<upstream_ptr> const& all,
                                           pick_request const& request,
                                           model::time_point now,
                                           pick& result)
{
    std::vector<upstream_ptr> usable;
    std::vector<upstream_ptr> backing_off;
    for (upstream_ptr const& item : all) {
        if (was_attempted(request, *item)) {
            continue;
        }
        if (!item->limit.may_send(now)) {
            record_limited(result, *item, now);
            continue;
        }
        (item->health.is_backing_off(now) ? backing_off : usable)
            .push_back(item);
    }
    // Where all rest, one of them is a better guess than a refusal.
    return usable.empty() ? backing_off : usable;
}

/// Between the two by how far the engines are behind on average.
double cost_of_uncached_token(picker_settings const& weights,
                              std::vector<upstream_ptr> const& usable,
                              model::milliseconds target)
{
    double unread = 0.0;
    for (upstream_ptr const& item : usable) {
        unread += static_cast<double>(item->pending_prefill_tokens());
    }
    double const wait_ms = unread / weights.tokens_per_ms
                           / std::max(1.0, static_cast<double>(usable.size()));
    double const allowed =
        static_cast<double>(target.count()) * weights.share_when_behind;
    double const behind =
        std::clamp(wait_ms / std::max(1.0, allowed), 0.0, 1.0);
    return (1.0 - behind) / weights.uncached_tokens_when_idle
           + behind / weights.uncached_tokens_when_behind;
}

/// How long the most urgent stream waits for a place: less urgent ones give
/// theirs up.
double slot_wait_ms(picker_settings const& weights,
                    upstream_state const& candidate)
{
    double const slots = std::max(1U, candidate.description.slots);
    double const beyond = candidate.running() + 1.0 - slots;
    return std::max(0.0, beyond) / slots * weights.stream_duration_ms;
}

/// How much of the way to a stream that pauses too long an engine has gone:
/// 0 up to a share of what is aimed at, 1 at the whole.
double gap_share(pick_request const& request,
                 model::milliseconds seen,
                 picker_settings const& weights)
{
    double const target =
        static_cast<double>(request.route->max_event_gap.count());
    if (target <= 0.0) {
        return 0.0;
    }
    double const share = static_cast<double>(seen.count()) / target;
    return std::clamp((share - weights.safe_gap_share)
                          / (1.0 - weights.safe_gap_share),
                      0.0,
                      1.0);
}

double mean_slots(std::vector<upstream_ptr> const& all)
{
    double sum = 0.0;
    for (upstream_ptr const& item : all) {
        sum += item->description.slots;
    }
    return sum / std::max(1.0, static_cast<double>(all.size()));
}

} // namespace

picker::picker(upstream_directory const& directory,
               picker_settings const& weights)
    : m_directory(directory)
    , m_settings(weights)
{
}

pick picker::choose(pick_request const& request, model::time_point now) const
{
    pick best;
    std::vector<upstream_ptr> const usable = usable_upstreams(
        m_directory.of_service(request.service), request, now, best);
    pick const none = best;
    engine_partition const groups = partition(request, usable);
    for (upstream_ptr const& item : usable) {
        pick option = none;
        option.to = item;
        option.cost = cost_of(request, *item, groups, now, option);
        if (!best.to || option.cost < best.cost) {
            best = option;
        }
    }
    best.candidates = usable.size();
    best.reserved_engines = groups.reserved;
    if (best.to) {
        best.running = best.to->running();
        best.pending_prefill_tokens = best.to->pending_prefill_tokens();
    }
    return best;
}

picker::engine_partition
picker::partition(pick_request const& request,
                  std::vector<upstream_ptr> const& usable) const
{
    engine_partition groups;
    if (request.prompt->tokens == 0) {
        return groups;
    }
    groups.cost_of_uncached_token = cost_of_uncached_token(
        m_settings, usable, request.route->latency_target);
    // Engines that rest keep their place: else the others' prompts would move
    // too.
    auto const& all = m_directory.reservation_order(request.service);
    reservation_inputs inputs;
    inputs.engines = all.size();
    inputs.slots = mean_slots(all);
    inputs.urgent_streams = request.urgent_streams;
    groups.reserved = reserved_engine_count(inputs);
    std::uint64_t best = 0;
    std::uint64_t second_best = 0;
    for (upstream_ptr const& item : usable) {
        bool const is_reserved = item->reservation_rank < groups.reserved;
        std::uint64_t const score =
            rendezvous(item->description.id, request.prompt->prefix_id());
        if (is_reserved != request.is_most_urgent) {
            continue;
        }
        if (score >= best) {
            second_best = std::exchange(best, score);
            groups.overflow_engine =
                std::exchange(groups.affinity_engine, item.get());
        } else if (score >= second_best) {
            second_best = score;
            groups.overflow_engine = item.get();
        }
    }
    return groups;
}

double picker::cost_of(pick_request const& request,
                       upstream_state const& candidate,
                       engine_partition const& groups,
                       model::time_point now,
                       pick& result) const
{
    picker_settings::network_path const& path =
        m_settings.network_paths[static_cast<std::size_t>(
            candidate.network_distance)];
    double const bytes =
        (static_cast<double>(request.body_bytes) + m_settings.answer_bytes)
        / m_settings.reference_bytes;
    double cost =
        path.cost * bytes
        + m_settings.cost_of_failure * candidate.health.failure_share(now);
    result.performance = candidate.performance(now);
    double nominal_ms = 0.0;
    double wait = 0.0;
    if (request.prompt->tokens == 0) {
        double const slots = std::max(1U, candidate.description.slots);
        nominal_ms =
            m_settings.service_ms * (1.0 + candidate.running() / slots);
    } else {
        std::uint32_t const shared = request.prompt->shared_tokens();
        result.uncached_tokens =
            &candidate == groups.affinity_engine
                ? 0
                : uncached_tokens(*request.prompt, candidate, now);
        // What one home can't take goes to the same second one from all
        // hosts: spread over all engines it would be read anew at each, and
        // an overload would feed itself.
        if (&candidate == groups.overflow_engine) {
            result.uncached_tokens /= 2;
        }
        double const unread =
            static_cast<double>(candidate.pending_prefill_tokens()
                                + result.uncached_tokens
                                + request.prompt->tokens)
            - shared;
        nominal_ms = m_settings.base_ms + unread / m_settings.tokens_per_ms;
        wait =
            request.is_most_urgent ? slot_wait_ms(m_settings, candidate) : 0.0;
        cost += result.uncached_tokens * groups.cost_of_uncached_token;
        cost +=
            m_settings.cost_of_event_gap
            * gap_share(request, result.performance.longest_gap, m_settings);
        bool const is_reserved = candidate.reservation_rank < groups.reserved;
        if (!request.is_most_urgent) {
            cost += std::min(m_settings.max_cost_of_urgent_streams,
                             m_settings.cost_per_urgent_stream
                                 * candidate.urgent());
        }
        if (is_reserved && !request.is_most_urgent) {
            cost += m_settings.cost_inside_reserved
                    + unread * m_settings.cost_of_delay_per_token;
        } else if (!is_reserved && request.is_most_urgent) {
            cost += m_settings.cost_outside_reserved;
        }
    }
    double const forecast =
        path.ms + nominal_ms * result.performance.slowdown + wait;
    result.forecast = model::milliseconds(std::lround(forecast));
    result.nominal_forecast =
        model::milliseconds(std::lround(path.ms + nominal_ms + wait));
    // The last term only settles ties: towards the one that answers first.
    return cost + lateness(m_settings, forecast, request.route->latency_target)
           + forecast * 1e-4;
}

// A part is kept only behind all that stand before it.
std::uint32_t picker::uncached_tokens(prompt const& asked,
                                      upstream_state const& candidate,
                                      model::time_point now) const
{
    std::uint32_t cold = asked.shared_tokens();
    for (std::size_t place = 0; place + 1 < asked.parts.size(); ++place) {
        prompt_part const& part = asked.parts[place];
        if (!m_memory.holds(candidate.description.id, part.id, now)) {
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
        m_memory.record(chosen.description.id, parts[place].id, now);
    }
}

} // namespace caperjunction::routing
