#ifndef CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP
#define CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::fleet {

/// Votes on their way out: this host has them no more, and no other process
/// than the one that accepted them first may ever get them.
struct witness_hand_over
{
    std::string to;
    model::time_point started{};
    model::time_point sent{};
    /// Its `to_generation` is 0 until the offer was accepted.
    claim_transfer transfer;
};

/// Votes on their way in from one process of one host.
struct witness_intake
{
    /// Offers up to that number have been taken in, or came too late.
    std::uint64_t taken = 0;
    /// The offer that was accepted last, and when it first was.
    std::uint64_t accepted = 0;
    model::time_point accepted_at{};
};

} // namespace caperjunction::fleet

#endif
