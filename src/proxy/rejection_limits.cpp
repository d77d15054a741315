#include "proxy/rejection_limits.hpp"

#include "model/retry_after.hpp"

namespace caperjunction::proxy {
namespace {

void update(relay_context& context,
            routing::upstream_state& state,
            std::optional<double> rejections_per_second)
{
    bool const is_change = state.rejections.update(rejections_per_second);
    if (!is_change) {
        return;
    }
    state.rejections.set_share(
        context.share_of(state),
        context.shares_limits_of(state.description.service));
    if (context.on_rejection_limit_changed) {
        context.on_rejection_limit_changed(state);
    }
}

} // namespace

void record_rejection_limit(relay_context& context,
                            routing::upstream_state& from,
                            message_head const& answer)
{
    std::string const* const value = answer.find(context.names.rejection_limit);
    if (value == nullptr) {
        // A refusal may come without the header.
        bool const has_run = answer.find(context.names.seal) != nullptr;
        if (has_run && from.rejections.is_active()) {
            update(context, from, std::nullopt);
        }
        return;
    }
    auto const limit = model::parse_decimal(*value);
    if (!limit) {
        if (context.on_limit_unreadable) {
            context.on_limit_unreadable(from, *value);
        }
        return;
    }
    for (auto const& state :
         context.directory.of_service(from.description.service)) {
        update(context, *state, limit);
    }
}

void apply_rejection_limits(relay_context& context)
{
    context.directory.each([&context](routing::upstream_state& state) {
        if (state.rejections.is_active()) {
            state.rejections.set_share(
                context.share_of(state),
                context.shares_limits_of(state.description.service));
        }
    });
}

} // namespace caperjunction::proxy
