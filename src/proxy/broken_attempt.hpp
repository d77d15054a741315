#ifndef CAPERJUNCTION_PROXY_BROKEN_ATTEMPT_HPP
#define CAPERJUNCTION_PROXY_BROKEN_ATTEMPT_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/shared_part.hpp"
#include "routing/upstream_state.hpp"

#include <optional>
#include <vector>

namespace caperjunction::proxy {

/// An attempt that its upstream broke off, or left unanswered, before it had
/// written for long.
struct broken_attempt
{
    routing::upstream_ptr upstream;
    /// Host through which it went; no value: directly.
    std::optional<model::endpoint> peer;
    std::vector<routing::shared_part> parts;
    /// Parts of which it was the trial.
    std::vector<routing::shared_part> tried;
    model::time_point sent_at{};
    /// The upstream had begun to answer.
    bool has_begun = false;
    /// The upstream had accepted a connection for it.
    bool has_connected = false;
};

} // namespace caperjunction::proxy

#endif
