#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_MESSAGE_HPP

#include "fleet/config_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Kind of a membership update. At an equal suspicion count a later kind
/// supersedes an earlier one: one peer that receives a host's heartbeats
/// refutes all that don't.
enum class update_kind : std::uint8_t
{
    /// A neighbour has received no heartbeat for the silence limit.
    suspect,
    /// A neighbour receives its heartbeats.
    alive,
    /// It announced that it is about to stop; supersedes any suspicion count.
    leaving,
};

/// One update about one process, forwarded from neighbour to neighbour.
struct membership_update
{
    std::string host;
    /// The process that the update is about; see `generation.hpp`.
    std::uint64_t generation = 0;
    /// Counts the suspicions raised about this generation.
    std::uint32_t suspicion_count = 0;
    update_kind kind = update_kind::alive;

    friend bool operator==(membership_update const&,
                           membership_update const&) = default;
};

/// Updates that are new to the sender, or its complete table.
struct membership_updates
{
    std::vector<membership_update> updates;

    friend bool operator==(membership_updates const&,
                           membership_updates const&) = default;
};

/// Sent to each neighbour once per period.
struct heartbeat
{
    std::uint64_t generation = 0;
    bool leaving = false;
    /// The receiver is a neighbour of the sender and is reported if silent. The
    /// receiver answers even if its own list, which may lag, doesn't make the
    /// sender a neighbour; without that the hosts would report each other
    /// endlessly.
    bool expects_reply = false;
    /// Hash of the sender's update table; equal for equal tables.
    std::uint64_t updates_hash = 0;
    config_announce configuration;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// Requests a reply that can't have been sent earlier. After a pause the socket
/// still holds old heartbeats; only a reply to a new number proves that the
/// neighbour is reachable now.
struct probe
{
    std::uint64_t number = 0;

    friend bool operator==(probe const&, probe const&) = default;
};

/// Answers a probe, with all state that a host needs after a pause.
struct probe_reply
{
    std::uint64_t number = 0;
    std::uint64_t generation = 0;
    bool leaving = false;
    config_announce configuration;
    std::vector<membership_update> updates;

    friend bool operator==(probe_reply const&, probe_reply const&) = default;
};

} // namespace caperjunction::fleet

#endif
