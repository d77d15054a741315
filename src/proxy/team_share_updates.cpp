#include "proxy/team_share_updates.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr model::milliseconds report_interval{1'000};

void update_index(relay_context& context)
{
    team_share_state& state = context.team_shares;
    if (state.indexed == context.table) {
        return;
    }
    state.indexed = context.table;
    state.index = context.table
                      ? routing::team_key_index(context.table->config())
                      : routing::team_key_index();
    for (auto item = state.services.begin(); item != state.services.end();) {
        if (state.index.has_service(item->first)) {
            ++item;
            continue;
        }
        state.excess_limits.erase(item->first);
        item = state.services.erase(item);
    }
}

void report(relay_context const& context, std::uint32_t key, bool is_above)
{
    team_share_state const& state = context.team_shares;
    auto const* const known = state.index.find(key);
    if (known == nullptr || !state.on_over_share) {
        return;
    }
    auto const found = state.services.find(known->service);
    if (found == state.services.end()) {
        return;
    }
    routing::team_shares const& shares = found->second;
    state.on_over_share({known->service,
                         known->team,
                         is_above,
                         shares.asked_by(key),
                         shares.level().value_or(-1.0),
                         shares.asked(),
                         shares.admitted()});
}

/// Reports the teams that went above their shares or returned to them.
void report_changes(relay_context& context)
{
    team_share_state& state = context.team_shares;
    auto const now = context.loop.now();
    std::map<std::uint32_t, bool> above;
    for (auto const& [service, shares] : state.services) {
        for (std::uint32_t const key : shares.above_level()) {
            above[key] = true;
            state.reported.try_emplace(
                key,
                team_share_state::reported_team{false, now - report_interval});
        }
    }
    for (auto next = state.reported.begin(); next != state.reported.end();) {
        auto& [key, last] = *next;
        bool const is_above = above.count(key) > 0;
        bool const is_due = now - last.at >= report_interval;
        if (is_above != last.is_above && is_due) {
            last = {is_above, now};
            report(context, key, is_above);
        }
        bool const is_over = !is_above && !last.is_above && is_due;
        next = is_over ? state.reported.erase(next) : std::next(next);
    }
}

} // namespace

std::vector<routing::team_demand> demands_to_advertise(relay_context& context)
{
    return context.team_shares.meter.largest(context.loop.now(),
                                             team_share_state::max_listed);
}

void bound_demands(relay_context const& context, routing::digest_set& digests)
{
    auto const bound = [&context](std::vector<routing::team_demand>& list) {
        list = routing::largest_demands(list,
                                        context.team_shares.index,
                                        routing::team_demand_table::max_others);
    };
    bound(digests.aggregated_loads.aggregated_demands);
    bound(digests.loads.remote_demands);
}

void update_team_shares(relay_context& context)
{
    if (!context.settings.team_shares) {
        return;
    }
    update_index(context);
    team_share_state& state = context.team_shares;
    state.demands.update(demands_to_advertise(context),
                         context.peers.other_demands(),
                         context.peers.alive(),
                         state.index,
                         context.loop.now());
    for (auto& [service, shares] : state.services) {
        shares = {};
    }
    state.demands.each_service(
        [&state](std::string const& service,
                 std::vector<routing::team_demand> const& demands) {
            state.services[service] = routing::team_shares(
                demands, routing::other_teams_key(service));
        });
    for (auto const& [service, shares] : state.services) {
        state.excess_limits[service].update(shares.lost_within(),
                                            context.loop.now());
    }
    report_changes(context);
}

routing::request_share share_of_request(relay_context const& context,
                                        std::string const& service,
                                        std::string const& team,
                                        std::uint64_t request_hash,
                                        bool applies)
{
    routing::request_share result;
    auto const found = context.team_shares.services.find(service);
    if (team.empty() || found == context.team_shares.services.end()) {
        return result;
    }
    routing::team_shares const& shares = found->second;
    auto const key = routing::team_demand_key(service, team);
    result.team_asked = shares.asked_by(key);
    result.fraction_within = shares.fraction_within(key);
    result.level = shares.level().value_or(-1.0);
    result.asked = shares.asked();
    result.admitted = shares.admitted();
    auto const limit = context.team_shares.excess_limits.find(service);
    if (limit != context.team_shares.excess_limits.end()) {
        result.excess_limit = limit->second.max_share();
    }
    if (applies && context.settings.team_shares) {
        result.result = shares.is_excess(key, request_hash)
                            ? routing::share_result::excess
                            : routing::share_result::within;
    }
    return result;
}

} // namespace caperjunction::proxy
