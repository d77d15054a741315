#include "proxy/leaving_notices.hpp"

#include <string_view>

namespace caperjunction::proxy {
namespace {

/// Bounds the size of digests.
constexpr std::size_t max_advertised = 128;

constexpr std::string_view is_leaving_value = "1";
constexpr std::string_view stays_value = "0";

void mark(relay_context& context, routing::upstream_state& state, bool is_own)
{
    if (context.directory.record_leaving(state) && context.on_leaving) {
        context.on_leaving(state, is_own);
    }
}

} // namespace

void record_leaving(relay_context& context,
                    routing::upstream_state& from,
                    message_head const& answer)
{
    std::string const* const value = answer.find(context.names.leaving);
    if (value == nullptr || from.is_leaving) {
        return;
    }
    if (*value == is_leaving_value) {
        mark(context, from, true);
    } else if (*value != stays_value && context.on_notice_unreadable) {
        context.on_notice_unreadable(from, context.names.leaving, *value);
    }
}

void apply_advertised_leaving(relay_context& context)
{
    context.directory.each([&context](routing::upstream_state& state) {
        bool const is_news =
            !state.is_leaving
            && context.peers.is_leaving(routing::start_key(state.description));
        if (is_news) {
            mark(context, state, false);
        }
    });
}

std::vector<std::uint64_t> leaving_to_advertise(relay_context const& context)
{
    std::vector<std::uint64_t> list;
    context.directory.each([&list](routing::upstream_state const& state) {
        if (state.is_leaving && list.size() < max_advertised) {
            list.push_back(routing::start_key(state.description));
        }
    });
    return list;
}

} // namespace caperjunction::proxy
