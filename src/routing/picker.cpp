#include "routing/picker.hpp"

#include "routing/engine_draw.hpp"
#include "routing/engine_forecast.hpp"
#include "routing/placement_cost.hpp"
#include "routing/rendezvous.hpp"
#include "routing/reserved_engines.hpp"
#include "routing/usable_upstreams.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <optional>

namespace caperjunction::routing {
namespace {

reservation_inputs reservation_inputs_of(std::vector<upstream_ptr> const& all,
                                         pick_request const& request,
                                         engine_capacity const& typical)
{
    // Hosts expect different work, most of all during a partition. Urgent
    // prompts are placed on fewer engines than are kept free for them, so that
    // they don't meet prompts of hosts that reserve fewer engines.
    constexpr double share_placed = 0.8;
    reservation_inputs inputs;
    double slots = 0.0;
    for (upstream_ptr const& item : all) {
        slots += item->description.slots;
        ++inputs.by_speed[static_cast<std::size_t>(item->speed)];
    }
    inputs.engines = all.size();
    inputs.slots = slots / std::max(1.0, static_cast<double>(all.size()));
    inputs.urgent_streams = request.urgent_streams;
    inputs.urgent_tokens_per_second =
        request.urgent_tokens_per_second
        * (request.is_most_urgent ? share_placed : 1.0);
    inputs.max_event_gap_ms =
        static_cast<double>(request.urgent_event_gap.count());
    inputs.tokens_per_ms = typical.tokens_per_ms;
    inputs.event_gap_ms = typical.event_gap_ms;
    return inputs;
}

/// Returns whether a request is expected to be late at the drawn engines of a
/// group.
bool is_late(std::optional<model::milliseconds> shortest_forecast,
             pick_request const& request)
{
    return request.prompt->tokens > 0 && shortest_forecast
           && *shortest_forecast * 2 > request.route->latency_target;
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
    engine_partition const groups = partition(request, usable, now);
    // Shortest forecast of the engines drawn in each group: those that are not
    // reserved, and reserved ones.
    std::array<std::optional<model::milliseconds>, 2> shortest;
    auto const consider = [&](upstream_ptr const& item) {
        pick option = none;
        option.to = item;
        option.cost = cost_of(request, *item, groups, now, option);
        auto& forecast = shortest[groups.is_reserved(*item) ? 1 : 0];
        if (!groups.has_prefix(*item)) {
            forecast =
                std::min(forecast.value_or(option.forecast), option.forecast);
        }
        if (!best.to || option.cost < best.cost) {
            best = option;
        }
    };
    for (upstream_ptr const& item :
         considered(request, usable, groups, false)) {
        consider(item);
    }
    auto const late = shortest;
    if (request.subset_key
        && (is_late(late[0], request) || is_late(late[1], request))) {
        for (upstream_ptr const& item :
             considered(request, usable, groups, true)) {
            if (is_late(late[groups.is_reserved(*item) ? 1 : 0], request)) {
                consider(item);
            }
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
                   engine_partition const& groups,
                   bool is_beyond_subset) const
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
    by.subset_key = request.subset_key;
    by.is_beyond_subset = is_beyond_subset;
    by.has_idle_connection = request.has_idle_connection;
    return draw_engines(usable, by);
}

picker::engine_partition
picker::partition(pick_request const& request,
                  std::vector<upstream_ptr> const& usable,
                  model::time_point now) const
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
    // The measured rate includes waits behind prompts that hosts don't know of.
    // With it, a busier service would reserve more engines, and the others
    // would be busier still.
    engine_capacity typical = m_directory.typical_capacity(request.service);
    typical.tokens_per_ms =
        std::max(typical.tokens_per_ms, m_weights.tokens_per_ms);
    // Engines that are backing off keep their rank. Otherwise prompts of other
    // engines would move too.
    auto const& order = m_directory.reservation_order(request.service);
    groups.reserved =
        reserved_engine_count(reservation_inputs_of(order, request, typical));
    measure_urgency(request, order.size(), groups);
    choose_affinity(request, usable, now, groups);
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
    if (request.has_idle_connection
        && !request.has_idle_connection(candidate)) {
        cost += m_weights.cost_of_new_connection;
    }
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
        wait = added.wait_ms;
    }
    auto const& lone = groups.lone_software;
    if (std::find(lone.begin(), lone.end(), candidate.software) != lone.end()) {
        cost += m_weights.cost_of_lone_version;
    }
    if (candidate.link.is_lost()) {
        cost += m_weights.detour.cost;
        wait += m_weights.detour.ms;
    }
    out.transit_ms =
        path.ms + (candidate.link.is_lost() ? m_weights.detour.ms : 0.0);
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
    double const read_first =
        pending - static_cast<double>(candidate.pending_prefill_tokens())
        + queued_tokens(request, candidate, groups, out);
    result.nominal_ms =
        m_weights.base_ms + read_first / m_weights.tokens_per_ms;
    result.wait_ms = wait_ms(request, candidate, out);
    out.tokens_per_ms = candidate.capacity.tokens_per_ms;
    double const gap_ms = event_gap_ms(candidate.capacity, pending);
    out.event_gap_forecast = model::milliseconds(std::lround(gap_ms));
    result.cost =
        out.uncached_tokens * groups.cost_of_uncached_token
        + m_weights.cost_of_event_gap
              * gap_share(request, out.performance.longest_gap, m_weights);
    bool const is_reserved = candidate.reservation_rank < groups.reserved;
    if (request.is_most_urgent) {
        double const target =
            static_cast<double>(request.route->latency_target.count());
        result.cost += m_weights.cost_of_slot_wait * result.wait_ms
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
    if (request.by_capacity) {
        record_demand(request, chosen, now);
    }
}

} // namespace caperjunction::routing
