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
/// clock: read from the service itself then, or confirmed by a peer that
/// read it then. Needed after every pause, and once per view lease.
struct claim_view_confirmed
{
    model::time_point as_of{};
};

/// A caller sent a non-repeatable call; `ticket` names it in decisions.
struct claim_started
{
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::uint64_t ticket = 0;
};

/// How a call that was told to proceed ended. `not_run` only if no byte of
/// it was handed to an upstream or the upstream refused before running it.
struct claim_ended
{
    claim_key key;
    model::outcome outcome = model::outcome::unknown;
};

/// A peer sent a message about claims.
struct claim_received
{
    std::string from;
    claim_message message;
};

/// A new process runs under the name of another host.
struct claim_host_restarted
{
    std::string host;
};

/// This host is about to stop: it votes no more and hands its votes over.
struct claim_stop_planned
{
};

/// Time has passed.
struct claim_tick
{
};

/// Everything that an entry host's claims can be told.
using claimant_event = std::variant<claim_view_listed,
                                    claim_view_confirmed,
                                    claim_started,
                                    claim_ended,
                                    claim_received,
                                    claim_tick>;

/// Everything that a witness can be told.
using witness_event = std::variant<claim_view_listed,
                                   claim_view_confirmed,
                                   claim_received,
                                   claim_host_restarted,
                                   claim_stop_planned,
                                   claim_tick>;

} // namespace caperjunction::fleet

#endif
