#ifndef CAPERJUNCTION_FLEET_AGENT_OUTPUT_HPP
#define CAPERJUNCTION_FLEET_AGENT_OUTPUT_HPP

#include "fleet/host_view.hpp"
#include "fleet/peer_message.hpp"
#include "fleet/published_value.hpp"
#include "lists/fault.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// Send this over the peer link; open the link if there is none.
struct send_message
{
    std::string to;
    peer_message message;
};

/// Links to keep open; others may be closed when idle.
struct keep_links
{
    std::vector<std::string> hosts;
};

/// A new view; published after every change.
struct view_changed
{
    std::shared_ptr<host_view const> view;
};

/// State transition of another host.
enum class host_change : std::uint8_t
{
    lost,
    leaving,
    returned,
    /// A new process runs under the same name; the state of the previous one
    /// is gone.
    restarted,
};

struct host_changed
{
    std::string host;
    host_change change = host_change::lost;
    std::string reason;
};

/// The process was paused for longer than the limit. No dispatch, order,
/// "not run" answer or vote may leave before `view_refreshed`.
struct view_outdated
{
};

struct view_refreshed
{
};

/// Request a revision above `after` from the service, which waits for one up
/// to `wait` (0: it answers immediately). Ends with `value_read` or
/// `read_ended`.
struct watch_value
{
    published_value value = published_value::plans;
    std::uint64_t after = 0;
    model::milliseconds wait{0};
};

/// The body of one revision.
struct checked_value
{
    std::uint64_t revision = 0;
    std::shared_ptr<std::string const> body;
};

/// Use these two lists from now on; they passed the checks together.
struct lists_in_force
{
    checked_value plans;
    checked_value entitlements;
};

/// Use this list of hosts or upstreams from now on.
struct value_in_force
{
    published_value value = published_value::hosts;
    checked_value checked;
};

/// A published value failed its checks; the last valid one stays in force.
struct value_refused
{
    published_value value = published_value::plans;
    std::uint64_t revision = 0;
    std::vector<lists::fault> faults;
};

/// All four values are in force for the first time.
struct configuration_ready
{
};

/// Another host's load digest, for `decide::digest_received`.
struct digest_arrived
{
    std::string host;
    std::vector<std::uint8_t> bytes;
};

/// Every output of the fleet's state machines.
using agent_output = std::variant<send_message,
                                  keep_links,
                                  view_changed,
                                  host_changed,
                                  view_outdated,
                                  view_refreshed,
                                  watch_value,
                                  lists_in_force,
                                  value_in_force,
                                  value_refused,
                                  configuration_ready,
                                  digest_arrived>;

} // namespace caperjunction::fleet

#endif
