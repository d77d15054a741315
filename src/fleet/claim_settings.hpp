#ifndef CAPERJUNCTION_FLEET_CLAIM_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_CLAIM_SETTINGS_HPP

#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::fleet {

/// How claims are kept. Equal on all hosts of a fleet.
struct claim_settings
{
    /// Witnesses of a key, and so votes.
    std::uint32_t witnesses = 5;
    /// Witnesses of one key in one data centre, while there are others: the
    /// loss of a data centre must leave a majority of the votes.
    std::uint32_t witnesses_per_data_centre = 2;
    /// Added to the majority; not 0 only to show that less is too little.
    int quorum_delta = 0;
    std::size_t buckets = 1024;

    /// How long a claim is remembered, from its grant.
    model::milliseconds retention{600'000};
    /// How long a witness votes by a list of hosts that nobody confirms.
    /// Above the longest outage of the service to be ridden out.
    model::milliseconds view_lease{3'900'000};
    /// How long after its start an attempt may be dispatched. Well below the
    /// horizon: the witnesses' memory must outlast it.
    model::milliseconds grant_lease{60'000};
    /// A longer gap between two events means that the process slept.
    model::milliseconds pause_limit{2'000};
    /// How long an entry host waits for a quorum.
    model::milliseconds claim_timeout{2'000};
    /// After which unanswered messages are sent again.
    model::milliseconds resend_after{300};
    /// How long votes may be on their way from one witness to another.
    model::milliseconds transfer_lease{30'000};

    /// Claims that one witness remembers, about 200 bytes each.
    std::size_t max_claims = 300'000;
    /// Records of a transfer, so that a message stays below a megabyte.
    std::size_t transfer_claims = 4'000;

    /// After that time in a witness set a host's memory is complete, and it
    /// votes without having been handed a vote.
    ///
    /// \pre at least `least_maturity()`, and some more: two hosts' clocks
    /// differ a little in speed.
    model::milliseconds maturity{9'000'000};

    /// By then all other hosts have noticed the list that put a host into
    /// the set (view_lease), what they did by older lists is over too (once
    /// more, for lists that changed meanwhile), and claims from before have
    /// lapsed.
    model::milliseconds min_maturity() const
    {
        return 2 * (view_lease + transfer_lease) + retention;
    }
};

} // namespace caperjunction::fleet

#endif
