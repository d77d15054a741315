#include "proxy/pause_requests.hpp"

#include "model/retry_after.hpp"

#include <algorithm>

namespace caperjunction::proxy {
namespace {

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

/// Bounds the size of digests.
constexpr std::size_t max_advertised = 32;

model::milliseconds remaining(routing::upstream_state const& state,
                              model::time_point now)
{
    return std::chrono::ceil<model::milliseconds>(state.paused_until - now);
}

void extend_pause(relay_context& context,
                  routing::upstream_state& state,
                  model::time_point until,
                  std::optional<model::endpoint> const& through)
{
    auto const now = context.loop.now();
    bool const is_start = state.paused_until <= now;
    if (until <= now || until <= state.paused_until) {
        return;
    }
    state.paused_until = until;
    state.paused_through = through;
    if (is_start && context.on_paused) {
        context.on_paused(state, remaining(state, now));
    }
}

} // namespace

void record_pause_request(relay_context& context,
                          routing::upstream_state& from,
                          message_head const& answer,
                          std::optional<model::endpoint> const& through)
{
    constexpr char const* header = "Retry-After";
    std::string const* const value = answer.find(header);
    bool const is_rejection =
        answer.status == unavailable || answer.status == too_many_requests;
    if (value == nullptr || !is_rejection) {
        return;
    }
    auto const pause = model::parse_retry_after(*value);
    if (pause) {
        extend_pause(context, from, context.loop.now() + *pause, through);
    } else if (context.on_notice_unreadable) {
        context.on_notice_unreadable(from, header, *value);
    }
}

void apply_peer_pauses(relay_context& context)
{
    auto const pauses =
        context.peers.pauses_through(context.settings.tunnel_listen);
    if (pauses.empty()) {
        return;
    }
    context.directory.each([&](routing::upstream_state& state) {
        auto const found =
            pauses.find(routing::upstream_load_key(state.description.id));
        if (found != pauses.end()) {
            extend_pause(context, state, found->second, std::nullopt);
        }
    });
}

std::vector<routing::advertised_pause>
pauses_to_advertise(relay_context const& context)
{
    std::vector<routing::advertised_pause> list;
    auto const now = context.loop.now();
    context.directory.each([&](routing::upstream_state const& state) {
        if (state.paused_until > now && list.size() < max_advertised) {
            list.push_back({routing::upstream_load_key(state.description.id),
                            remaining(state, now),
                            state.paused_through});
        }
    });
    return list;
}

} // namespace caperjunction::proxy
