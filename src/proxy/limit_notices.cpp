#include "proxy/limit_notices.hpp"

#include "model/retry_after.hpp"

namespace caperjunction::proxy {
namespace {

/// Other hosts receive a limit within a second. It is advertised for much
/// longer because hosts come and go.
constexpr model::milliseconds advertised_for{60'000};
constexpr std::size_t max_advertised = 64;
constexpr int misdirected = 421;

void apply(relay_context& context,
           routing::upstream_state& state,
           routing::limit_notice const& notice)
{
    bool const is_change = state.limit.update(notice);
    if (state.limit.is_limited()) {
        state.limit.set_share(context.share_of(state));
    }
    if (is_change && context.on_limit_changed) {
        context.on_limit_changed(state);
    }
}

} // namespace

void record_limit(relay_context& context,
                  routing::upstream_state& from,
                  message_head const& answer)
{
    if (answer.status == misdirected) {
        return;
    }
    std::string const* const value = answer.find(context.names.request_limit);
    std::optional<double> requests_per_second;
    if (value != nullptr) {
        requests_per_second = model::parse_decimal(*value);
        if (!requests_per_second) {
            // The previous limit stays in force: the upstream is overloaded,
            // and its new limit is unknown.
            if (context.on_limit_unreadable) {
                context.on_limit_unreadable(from, *value);
            }
            return;
        }
    }
    bool const has_run = answer.find(context.names.seal) != nullptr;
    bool const has_ended =
        !requests_per_second && has_run && from.limit.is_limited();
    if (requests_per_second || has_ended) {
        from.own_limit = {requests_per_second, context.loop.now()};
        apply(context, from, from.own_limit);
    }
}

void apply_advertised_limits(relay_context& context)
{
    context.directory.each([&context](routing::upstream_state& state) {
        auto const advertised = context.peers.limit_of(
            routing::upstream_load_key(state.description.id));
        if (advertised || state.limit.is_limited()) {
            apply(context, state, advertised.value_or(routing::limit_notice{}));
        }
    });
}

std::vector<routing::advertised_limit>
limits_to_advertise(relay_context const& context)
{
    std::vector<routing::advertised_limit> list;
    auto const now = context.loop.now();
    context.directory.each([&](routing::upstream_state const& state) {
        routing::limit_notice const& limit = state.own_limit;
        auto const age = std::chrono::duration_cast<model::milliseconds>(
            now - limit.received_at);
        bool const is_set = limit.received_at != model::time_point{};
        if (is_set && age < advertised_for && list.size() < max_advertised) {
            list.push_back({routing::upstream_load_key(state.description.id),
                            limit.requests_per_second,
                            age});
        }
    });
    return list;
}

} // namespace caperjunction::proxy
