#include "proxy/cold_upstreams.hpp"

namespace caperjunction::proxy {
namespace {

routing::service const* service_of(relay_context const& context,
                                   routing::upstream_state const& state)
{
    return context.table == nullptr
               ? nullptr
               : context.table->find_service(state.description.service);
}

void apply_limit(relay_context& context, routing::upstream_state& state)
{
    routing::service const* const service = service_of(context, state);
    if (service != nullptr) {
        state.cold.set_limit(service->cold_requests_per_second,
                             context.share_of(state),
                             context.loop.now());
    }
}

} // namespace

void record_cold(relay_context& context,
                 routing::upstream_state& state,
                 model::milliseconds remaining)
{
    auto const now = context.loop.now();
    if (remaining.count() <= 0) {
        return;
    }
    bool const is_change = state.cold.extend(now + remaining, now);
    apply_limit(context, state);
    if (is_change && context.on_cold) {
        context.on_cold(state, remaining);
    }
}

void record_cold_data_centre(relay_context& context,
                             std::string const& data_centre)
{
    context.directory.each([&](routing::upstream_state& state) {
        routing::service const* const service = service_of(context, state);
        if (state.description.data_centre == data_centre
            && service != nullptr) {
            record_cold(context, state, service->cold_start);
        }
    });
}

void apply_cold_limits(relay_context& context)
{
    auto const now = context.loop.now();
    context.directory.each([&](routing::upstream_state& state) {
        if (state.cold.is_cold(now)) {
            apply_limit(context, state);
        }
    });
}

} // namespace caperjunction::proxy
