#ifndef CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP
#define CAPERJUNCTION_FLEET_WITNESS_HAND_OVER_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Outgoing votes: this host no longer holds them, and only the process that
/// accepted them first may ever receive them.
struct witness_hand_over
{
    std::string to;
    model::time_point started{};
    model::time_point sent{};
    /// Number of unanswered offers.
    std::uint32_t offers = 0;
    /// Members that the votes came from, in the order of `transfer.votes`.
    std::vector<std::string> original_members;
    /// `to_generation` is 0 until the offer is accepted.
    claim_transfer transfer;
};

/// Incoming votes from one process of one host.
struct incoming_hand_over
{
    struct offer
    {
        model::time_point accepted{};
        bool imported = false;
    };

    /// Highest offer number seen. A delayed duplicate reopens no offer up to
    /// it, because the vote may have moved on by then.
    std::uint64_t highest = 0;
    /// Offers whose transfer may still arrive.
    std::map<std::uint64_t, offer> open;
    model::time_point last_used{};
};

} // namespace caperjunction::fleet

#endif
