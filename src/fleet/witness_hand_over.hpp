#ifndef CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP
#define CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Votes on their way out: this host has them no more, and no other process
/// than the one that accepted them first may ever get them.
struct witness_hand_over
{
    std::string to;
    model::time_point started{};
    model::time_point sent{};
    /// Offers that were not answered.
    std::uint32_t offers = 0;
    /// Whose votes they are, in the order of `transfer.votes`.
    std::vector<std::string> original_members;
    /// Its `to_generation` is 0 until the offer was accepted.
    claim_transfer transfer;
};

/// Votes on their way in from one process of one host.
struct incoming_hand_over
{
    struct offer
    {
        model::time_point accepted{};
        bool imported = false;
    };

    /// Offers up to that number are known; a late copy opens none of them
    /// again, since the vote may have moved on by then.
    std::uint64_t highest = 0;
    /// Those that may still be on their way.
    std::map<std::uint64_t, offer> open;
    model::time_point used{};
};

} // namespace caperjunction::fleet

#endif
