#include "routing/picker.hpp"

#include "routing/engine_draw.hpp"
#include "routing/placement_cost.hpp"
#include "routing/rendezvous.hpp"
#include "routing/reserved_engines.hpp"

#include <algorithm>
#include <cmath>
#include <map>
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

bool is_allowed(pick_request const& request, upstream_state const& candidate)
{
    bool const has_software =
        !request.software
        || (*request.software == candidate.software
            && (!request.is_software_certain
                || request.is_software_certain(candidate)));
    return has_software
           && (request.homes == nullptr
               || request.homes->allows(candidate.where.region));
}

/// Records in `result` that an upstream accepts no request from this host now.
void record_limited(pick& out,
                    upstream_state const& limited,
                    model::time_point now)
{
    /// Longer waits are of no use to a caller: another host may be allowed to
    /// send sooner.
    constexpr model::milliseconds max_wait{2'000};
    ++out.limited;
    auto const next = limited.next_send(now);
    if (next - now > max_wait) {
        return;
    }
    auto const wait = std::chrono::ceil<model::milliseconds>(next - now);
    out.retry_after = std::min(wait, out.retry_after.value_or(wait));
}

std::vector<upstream_ptr> usable_upstreams(std::vector<upstream_ptr> const& all,
                                           pick_request const& request,
                                           model::time_point now,
                                           pick& out)
{
    std::vector<upstream_ptr> usable;
    std::vector<upstream_ptr> backing_off;
    for (upstream_ptr const& item : all) {
        if (was_attempted(request, *item) || !is_allowed(request, *item)) {
            continue;
        }
        if (!item->may_send(now)) {
            record_limited(out, *item, now);
            continue;
        }
        if (request.is_paused_on_way && item->link.is_lost()
            && request.is_paused_on_way(*item)) {
            ++out.limited;
            continue;
        }
        bool const is_backing_off =
            item->health.is_backing_off(now) || !item->link.is_usable();
        (is_backing_off ? backing_off : usable).push_back(item);
    }
    // If all are backing off, attempting one of them is better than a refusal.
    return usable.empty() ? backing_off : usable;
}

double mean_slots(std::vector<upstream_ptr> const& all)
{
    double sum = 0.0;
    for (upstream_ptr const& item : all) {
        sum += item->description.slots;
    }
    return sum / std::max(1.0, static_cast<double>(all.size()));
}

/// Returns the software that one upstream alone has.
std::vector<software> lone_software(std::vector<upstream_ptr> const& usable)
{
    std::map<software, std::size_t> counts;
    for (upstream_ptr const& item : usable) {
        ++counts[item->software];
    }
    std::vector<software> lone;
    for (auto const& [item, count] : counts) {
        if (count == 1) {
            lone.push_back(item);
        }
    }
    return lone;
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
    std::vector<upstream_ptr> const usable = usable_upstreams(
        m_directory.of_service(request.service), request, now, best);
    pick const none = best;
    engine_partition const groups = partition(request, usable);
    for (upstream_ptr const& item : considered(request, usable, groups)) {
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

std::vector<upstream_ptr>
picker::considered(pick_request const& request,
                   std::vector<upstream_ptr> const& usable,
                   engine_partition const& groups) const
{
    if (request.prompt->tokens == 0) {
        return usable;
    }
    engine_draw by;
    by.affinity_engine = groups.affinity_engine;
    by.overflow_engine = groups.overflow_engine;
    by.reserved = groups.reserved;
    by.count = m_weights.drawn_engines;
    by.request_hash = request.request_hash;
    return draw_engines(usable, by);
}

picker::engine_partition
picker::partition(pick_request const& request,
                  std::vector<upstream_ptr> const& usable) const
{
    engine_partition groups;
    if (request.route->resumable && !request.software) {
        groups.lone_software = lone_software(usable);
    }
    if (request.prompt->tokens == 0) {
        return groups;
    }
    groups.cost_of_uncached_token = cost_of_uncached_token(
        m_weights, usable, request.route->latency_target);
    // Engines that are backing off keep their rank. Otherwise prompts of other
    // engines would move too.
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
            rendezvous_score(item->description.id, request.prompt->prefix_id());
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
                       pick& out) const
{
    picker_settings::network_path const& path =
        m_weights.network_paths[static_cast<std::size_t>(
            candidate.where.network_distance)];
    double const bytes =
        (static_cast<double>(request.body_bytes) + m_weights.answer_bytes)
        / m_weights.reference_bytes;
    double cost =
        path.cost * bytes
        + m_weights.cost_of_failure * candidate.health.failure_share(now);
    out.performance = candidate.performance(now);
    double nominal_ms = 0.0;
    double wait = 0.0;
    if (request.prompt->tokens == 0) {
        double const slots = std::max(1U, candidate.description.slots);
        nominal_ms = m_weights.service_ms * (1.0 + candidate.running() / slots);
    } else {
        prompt_cost const added =
            cost_of_prompt(request, candidate, groups, now, out);
        cost += added.cost;
        nominal_ms = added.nominal_ms;
        wait = added.slot_wait_ms;
    }
    auto const& lone = groups.lone_software;
    if (std::find(lone.begin(), lone.end(), candidate.software) != lone.end()) {
        cost += m_weights.cost_of_lone_version;
    }
    if (candidate.link.is_lost()) {
        cost += m_weights.detour.cost;
        wait += m_weights.detour.ms;
    }
    double const forecast =
        path.ms + nominal_ms * out.performance.slowdown + wait;
    out.forecast = model::milliseconds(std::lround(forecast));
    out.nominal_forecast =
        model::milliseconds(std::lround(path.ms + nominal_ms + wait));
    // The last term only breaks ties, in favour of the earliest answer.
    return cost + lateness(m_weights, forecast, request.route->latency_target)
           + forecast * 1e-4;
}

picker::prompt_cost picker::cost_of_prompt(pick_request const& request,
                                           upstream_state const& candidate,
                                           engine_partition const& groups,
                                           model::time_point now,
                                           pick& out) const
{
    prompt_cost result;
    out.uncached_tokens =
        &candidate == groups.affinity_engine
            ? 0
            : uncached_tokens(*request.prompt, candidate, now);
    // Requests that the affinity engine cannot take go to the same overflow
    // engine from all hosts. Spread over all engines, their prefix would be
    // read again at each one, and the overload would amplify itself.
    if (&candidate == groups.overflow_engine) {
        out.uncached_tokens /= 2;
    }
    double const pending =
        static_cast<double>(candidate.pending_prefill_tokens()
                            + out.uncached_tokens + request.prompt->tokens)
        - request.prompt->shared_tokens();
    result.nominal_ms = m_weights.base_ms + pending / m_weights.tokens_per_ms;
    result.cost =
        out.uncached_tokens * groups.cost_of_uncached_token
        + m_weights.cost_of_event_gap
              * gap_share(request, out.performance.longest_gap, m_weights);
    bool const is_reserved = candidate.reservation_rank < groups.reserved;
    if (request.is_most_urgent) {
        result.slot_wait_ms =
            slot_wait_ms(m_weights, candidate, request.load_age);
        double const target =
            static_cast<double>(request.route->latency_target.count());
        result.cost += m_weights.cost_of_slot_wait * result.slot_wait_ms
                       / std::max(1.0, target);
        result.cost += is_reserved ? 0.0 : m_weights.cost_outside_reserved;
        return result;
    }
    result.cost +=
        std::min(m_weights.max_cost_of_urgent_streams,
                 m_weights.cost_per_urgent_stream * candidate.urgent());
    if (is_reserved) {
        result.cost += m_weights.cost_inside_reserved
                       + pending * m_weights.cost_of_delay_per_token;
    }
    return result;
}

// A part is cached only if all parts before it are.
std::uint32_t picker::uncached_tokens(prompt const& requested,
                                      upstream_state const& candidate,
                                      model::time_point now) const
{
    std::uint32_t uncached = requested.shared_tokens();
    for (std::size_t index = 0; index + 1 < requested.parts.size(); ++index) {
        prompt_part const& part = requested.parts[index];
        if (!m_prefix_cache.contains(candidate.description.id, part.id, now)) {
            break;
        }
        uncached -= part.tokens;
    }
    return uncached;
}

void picker::record_sent(pick_request const& request,
                         upstream_state const& chosen,
                         model::time_point now)
{
    auto const& parts = request.prompt->parts;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        m_prefix_cache.record(chosen.description.id, parts[index].id, now);
    }
}

} // namespace caperjunction::routing
