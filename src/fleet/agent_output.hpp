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

/// Send this over the peer link; a link that is missing is made.
struct send_message
{
    std::string to;
    peer_message message;
};

/// Links to be kept up; others may be closed when they fall idle.
struct keep_links
{
    std::vector<std::string> hosts;
};

/// A new view; follows every change.
struct view_changed
{
    std::shared_ptr<host_view const> view;
};

/// What happened to another host.
enum class host_change : std::uint8_t
{
    lost,
    leaving,
    returned,
    /// A new process of the same name; what the old one held is gone.
    restarted,
};

struct host_changed
{
    std::string host;
    host_change change = host_change::lost;
    std::string reason;
};

/// The process slept for longer than it may: nothing leaves (dispatch,
/// order, "not run", vote) before `view_refreshed`.
struct view_outdated
{
};

struct view_refreshed
{
};

/// Ask the service for a revision above `after`, and let it wait for one for
/// `wait` (0: it answers at once). Ends with `value_read` or `read_ended`.
struct watch_value
{
    published_value value = published_value::plans;
    std::uint64_t after = 0;
    model::milliseconds wait{0};
};

/// A checked body of one revision.
struct checked_value
{
    std::uint64_t revision = 0;
    std::shared_ptr<std::string const> body;
};

/// Act by these two lists from now on; they passed the checks together.
struct lists_in_force
{
    checked_value plans;
    checked_value entitlements;
};

/// Act by this list of hosts or upstreams from now on.
struct value_in_force
{
    published_value value = published_value::hosts;
    checked_value checked;
};

/// A published value can't be put in force; the last good one stays.
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

/// Another host's load, for `decide::digest_received`.
struct digest_arrived
{
    std::string host;
    std::vector<std::uint8_t> bytes;
};

/// Everything that the fleet's state machines can ask for.
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
