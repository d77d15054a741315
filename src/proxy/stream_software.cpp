#include "proxy/stream_software.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::origin_knowledge;
using routing::served_software;

/// Time in which a change of the list arrives, several times over. This host
/// may lack changes that others have read for so long, and a connection that
/// breaks says nothing of a list that was confirmed within it.
constexpr model::milliseconds max_list_lag{1'000};

bool has_current_list(relay_context const& context)
{
    if (!context.keys.as_of()
        || context.keys.age(context.lease_now())
               >= context.settings.key_lifetime) {
        return false;
    }
    return !context.list_behind_since
           || context.loop.now() - *context.list_behind_since < max_list_lag;
}

bool has_other_hosts(relay_context const& context)
{
    return context.peers.alive() > 0 || !context.settings.seeds.empty();
}

void observe(relay_context& context)
{
    context.software.observe(context.directory, context.loop.now());
}

served_software served_lately(relay_context const& context,
                              std::uint64_t service)
{
    return context.software.served(
        service, takeover_window(context), context.loop.now());
}

} // namespace

model::milliseconds takeover_window(relay_context const& context)
{
    constexpr int timeouts = 2;
    model::milliseconds longest{0};
    if (context.table) {
        for (routing::route const& item : context.table->config().routes) {
            if (item.resumable) {
                longest = std::max(longest, item.timeout);
            }
        }
    }
    return longest * timeouts;
}

bool is_software_certain(relay_context const& context,
                         routing::upstream_state const& state)
{
    auto const listed = context.directory.find(state.description.id);
    bool const is_listed =
        listed == nullptr || listed->software == state.software;
    if (!is_listed || !has_current_list(context)) {
        return false;
    }
    // The clock of leases may have been lost with the last read.
    auto const as_of = context.keys.as_of();
    if (!as_of) {
        return false;
    }
    bool const may_have_started_again =
        state.broken_at && *state.broken_at >= *as_of
        && context.keys.age(context.lease_now()) > max_list_lag;
    return !may_have_started_again;
}

bool has_recent_list(relay_context const& context)
{
    return has_current_list(context)
           && (!has_other_hosts(context)
               || context.keys.age(context.lease_now()) <= max_list_lag);
}

bool serves_one_version_each(relay_context const& context,
                             routing::route const& route)
{
    return route.split.size() == 1
           || std::none_of(
               route.split.begin(),
               route.split.end(),
               [&context](routing::weighted_service const& item) {
                   return served_lately(
                              context,
                              routing::software_service_key(item.service))
                          == served_software::several;
               });
}

void record_begun(relay_context& context,
                  routing::stream_origin const& begun,
                  bool has_several_services)
{
    observe(context);
    auto const now = context.loop.now();
    bool const must_tell = has_several_services
                           || served_lately(context, begun.began_at.service)
                                  != served_software::one;
    if (!must_tell) {
        context.origins.record_untold(begun, now);
        return;
    }
    context.origins.record(begun, now);
    if (context.tell_origin) {
        context.tell_origin(begun);
    }
}

routing::origin_claim own_claim(relay_context& context,
                                origin_question const& asked)
{
    if (auto const recorded = context.origins.find(asked.stream)) {
        return {origin_knowledge::recorded, *recorded};
    }
    observe(context);
    auto const served = served_lately(context, asked.service);
    if (served == served_software::several) {
        return {origin_knowledge::several, {}};
    }
    auto const newest = context.software.newest(asked.service);
    if (served == served_software::one && newest && has_recent_list(context)) {
        return {origin_knowledge::only_software, *newest};
    }
    return {};
}

void find_software(
    relay_context& context,
    origin_question const& asked,
    std::function<void(std::optional<routing::software>)> on_found)
{
    routing::origin_claims claims;
    claims.add(own_claim(context, asked));
    auto const known = claims.result();
    if (known || !context.ask_origin) {
        on_found(known);
        return;
    }
    context.ask_origin(asked, claims, std::move(on_found));
}

void sweep_stream_software(relay_context& context)
{
    auto const now = context.loop.now();
    bool const is_behind =
        context.known.upstreams < context.peers.newest_upstreams();
    if (!is_behind) {
        context.list_behind_since.reset();
    } else if (!context.list_behind_since) {
        context.list_behind_since = now;
    }
    if (!has_current_list(context)) {
        context.software.reset();
    }
    observe(context);
    context.origins.expire(takeover_window(context), now);
    if (!context.origins.has_untold() || !context.tell_origin) {
        return;
    }
    context.directory.each_service([&context](std::string const& service) {
        auto const key = routing::software_service_key(service);
        if (served_lately(context, key) == served_software::one) {
            return;
        }
        for (auto const& begun : context.origins.take_untold(key)) {
            context.tell_origin(begun);
        }
    });
}

} // namespace caperjunction::proxy
