#ifndef CAPERJUNCTION_FLEET_CLAIM_EVENT_HPP
#define CAPERJUNCTION_FLEET_CLAIM_EVENT_HPP

#include "fleet/claim_message.hpp"
#include "fleet/claim_view.hpp"
#include "model/outcome.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace caperjunction::fleet {

/// The platform's list of hosts is in force from now on.
struct claim_view_listed
{
    std::shared_ptr<claim_view const> view;
};

/// The list in force was the platform's newest at `as_of` on this host's
/// clock: read from the service at that time, or confirmed by a peer that read
/// it then. Required after every pause, and once per view lease.
struct claim_view_confirmed
{
    model::time_point as_of{};
};

/// A caller sent a non-repeatable call; `ticket` identifies it in decisions.
struct claim_started
{
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::uint64_t ticket = 0;
};

/// Outcome of a call after `claim_proceed`. `not_run` only if no byte of it
/// was sent to an upstream or the upstream refused it before running it.
struct claim_ended
{
    claim_key key;
    model::outcome outcome = model::outcome::unknown;
};

/// A peer sent a claim message.
struct claim_received
{
    std::string from;
    claim_message message;
};

/// Another host restarted: a new process runs under its name.
struct claim_host_restarted
{
    std::string host;
};

/// This host is about to stop: it grants no more votes and hands its votes
/// over.
struct claim_stop_planned
{
};

/// Time has passed.
struct claim_tick
{
};

/// Every input of a claimant.
using claimant_event = std::variant<claim_view_listed,
                                    claim_view_confirmed,
                                    claim_started,
                                    claim_ended,
                                    claim_received,
                                    claim_tick>;

/// Every input of a witness.
using witness_event = std::variant<claim_view_listed,
                                   claim_view_confirmed,
                                   claim_received,
                                   claim_host_restarted,
                                   claim_stop_planned,
                                   claim_tick>;

} // namespace caperjunction::fleet

#endif
