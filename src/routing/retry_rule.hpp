#ifndef CAPERJUNCTION_ROUTING_RETRY_RULE_HPP
#define CAPERJUNCTION_ROUTING_RETRY_RULE_HPP

#include "routing/route.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// How an attempt of a request ended without the expected answer.
enum class attempt_end : std::uint8_t
{
    /// The upstream could not be reached and received nothing.
    unreachable,
    /// The upstream reports that it has not run the request.
    not_run,
    /// The connection broke, or the data was not a valid answer.
    broken,
    /// The upstream answered with a failure.
    failed,
    /// Nothing was received for longer than another attempt would take.
    silent,
    /// It was overdue, and another upstream is expected to answer sooner.
    withdrawn,
};

/// Returns a stable name for logs.
inline std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 6> names{
        "unreachable", "not_run", "broken", "failed", "silent", "withdrawn"};
    return names[static_cast<std::size_t>(end)];
}

/// Progress of a request over its attempts.
struct attempt_state
{
    /// Upstreams that received the request.
    std::uint32_t sent = 0;
    /// Upstreams that could not be reached.
    std::uint32_t unreached = 0;
    /// The caller has received part of a stream.
    bool has_begun = false;
};

/// Returns whether a request may be sent to another upstream, apart from
/// budgets.
///
/// A request that must not run twice is sent again only if the upstream
/// reported that it has not run it or received nothing.
inline bool
may_retry(route const& chosen, attempt_end end, attempt_state const& state)
{
    // Each one costs a connect timeout; more would use up the caller's time.
    constexpr std::uint32_t max_unreached = 4;
    if (end == attempt_end::unreachable) {
        return state.unreached < max_unreached
               && state.sent < chosen.max_attempts;
    }
    if (state.sent >= chosen.max_attempts) {
        return false;
    }
    return end == attempt_end::not_run || chosen.repeatable();
}

} // namespace caperjunction::routing

#endif
