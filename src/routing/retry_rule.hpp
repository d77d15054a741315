#ifndef CAPERJUNCTION_ROUTING_RETRY_RULE_HPP
#define CAPERJUNCTION_ROUTING_RETRY_RULE_HPP

#include "routing/route.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// How one try of a request ended without the wanted answer.
enum class attempt_end : std::uint8_t
{
    /// The upstream could not be reached: it got nothing.
    unreachable,
    /// The upstream says that it has not run it.
    not_run,
    /// The connection broke, or what came is no answer.
    broken,
    /// The upstream answered that it failed.
    failed,
    /// Nothing came for longer than another try would take.
    silent,
};

/// Stable name, for logs.
inline std::string_view to_string(attempt_end how)
{
    constexpr std::array<std::string_view, 5> names{
        "unreachable", "not_run", "broken", "failed", "silent"};
    return names[static_cast<std::size_t>(how)];
}

/// Where a request stands.
struct attempt_state
{
    /// Upstreams that were handed the request.
    std::uint32_t sent = 0;
    /// Upstreams that could not be reached.
    std::uint32_t unreached = 0;
    /// The caller has part of a stream.
    bool has_begun = false;
};

/// Whether a request may be tried at another upstream, apart from budgets.
///
/// What must not run twice is sent again only if the upstream said that it
/// has not run it, or got nothing.
inline bool
may_retry(route const& chosen, attempt_end ended, attempt_state const& state)
{
    // Each costs a connect timeout; more would eat up the caller's time.
    constexpr std::uint32_t most_unreached = 4;
    if (ended == attempt_end::unreachable) {
        return state.unreached < most_unreached
               && state.sent < chosen.max_attempts;
    }
    if (state.sent >= chosen.max_attempts) {
        return false;
    }
    return ended == attempt_end::not_run || chosen.repeatable();
}

} // namespace caperjunction::routing

#endif
