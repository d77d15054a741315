#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_MESSAGE_HPP

#include "fleet/config_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// What is said of a host. Within one round, a later kind outranks an
/// earlier one: one peer that hears a host refutes all that don't.
enum class update_kind : std::uint8_t
{
    /// A neighbour has not heard it for the silence limit.
    suspect,
    /// A neighbour hears it.
    alive,
    /// It said that it is about to stop; outranks every round.
    leaving,
};

/// One statement about one process, passed on from neighbour to neighbour.
struct membership_update
{
    std::string host;
    /// The process it is about; see `generation.hpp`.
    std::uint64_t generation = 0;
    /// Counts the suspicions raised about this generation.
    std::uint32_t suspicion_count = 0;
    update_kind kind = update_kind::alive;

    friend bool operator==(membership_update const&,
                           membership_update const&) = default;
};

/// Rumours that are new to the sender, or all that it holds.
struct membership_updates
{
    std::vector<membership_update> updates;

    friend bool operator==(membership_updates const&,
                           membership_updates const&) = default;
};

/// Sent to each neighbour once a period.
struct heartbeat
{
    std::uint64_t generation = 0;
    bool leaving = false;
    /// The sender counts the receiver among its neighbours and takes its
    /// silence for a fault; set wrongly, two lists that lag differently
    /// would make hosts report each other for ever.
    bool expects_reply = false;
    /// Hash over all rumours the sender holds; equal hashes, equal rumours.
    std::uint64_t updates_hash = 0;
    config_announce configuration;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// Asks for a sign of life that can't have been sent earlier. After a pause
/// the socket still holds heartbeats from before; only an answer to a new
/// number proves that the neighbour is heard now.
struct probe
{
    std::uint64_t number = 0;

    friend bool operator==(probe const&, probe const&) = default;
};

/// Answers a probe, with all that a host needs that may have slept.
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
