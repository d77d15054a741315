#include "routing/usable_upstreams.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>

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

bool is_kept_from(pick_request const& request, upstream_state const& candidate)
{
    bool const is_other = request.only != nullptr && request.only != &candidate;
    return is_other
           || (request.kept_from != nullptr
               && std::find(request.kept_from->begin(),
                            request.kept_from->end(),
                            candidate.software)
                      != request.kept_from->end());
}

bool is_allowed(pick_request const& request, upstream_state const& candidate)
{
    bool const has_software =
        !request.software
        || (*request.software == candidate.software
            && (!request.is_software_certain
                || request.is_software_certain(candidate)));
    return has_software && !is_kept_from(request, candidate)
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

} // namespace

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
    return usable.empty() ? backing_off : usable;
}

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

} // namespace caperjunction::routing
