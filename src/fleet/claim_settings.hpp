#ifndef CAPERJUNCTION_FLEET_CLAIM_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_CLAIM_SETTINGS_HPP

#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::fleet {

/// Limits and times of claims. Equal on all hosts of a fleet.
struct claim_settings
{
    /// Witnesses, and hence votes, per key.
    std::uint32_t witnesses = 5;
    /// Maximum witnesses of a key per data centre, as long as there are hosts
    /// in other data centres. The loss of one data centre must leave a majority
    /// of the votes.
    std::uint32_t witnesses_per_data_centre = 2;
    /// Added to the majority. Non-zero only in ablation runs, which show that a
    /// smaller quorum runs calls twice.
    int quorum_delta = 0;
    std::size_t buckets = 1024;

    /// How long a witness stores a claim after granting it.
    model::milliseconds retention{600'000};
    /// How long a witness votes by a list of hosts without confirmation. Has to
    /// exceed the longest service outage that bookings must survive.
    model::milliseconds view_lease{3'900'000};
    /// How long after its start an attempt may be dispatched. Well below
    /// `retention`: the witnesses have to store the claim for longer.
    model::milliseconds grant_lease{60'000};
    /// A longer gap between two events means that the process was paused.
    model::milliseconds pause_limit{2'000};
    /// Maximum time an entry host waits for a quorum.
    model::milliseconds claim_timeout{2'000};
    /// Time after which unanswered messages are resent.
    model::milliseconds resend_after{300};
    /// Maximum duration of a vote transfer between two witnesses.
    model::milliseconds transfer_lease{30'000};

    /// Maximum claims stored by one witness, about 200 bytes each.
    std::size_t max_claims = 300'000;
    /// Maximum claim records per transfer; keeps messages below a megabyte.
    std::size_t transfer_claims = 4'000;

    /// Time in a witness set after which a host has seen every claim that can
    /// still matter, and votes without having been handed a vote.
    ///
    /// \pre at least `min_maturity()` plus a margin, because clock rates differ
    /// slightly between hosts.
    model::milliseconds maturity{9'000'000};

    /// Lower bound of `maturity`. One view and transfer lease until all other
    /// hosts have the list that added the host or have stopped voting, a second
    /// one for lists that changed meanwhile, and one retention time until all
    /// earlier claims have expired.
    model::milliseconds min_maturity() const
    {
        return 2 * (view_lease + transfer_lease) + retention;
    }
};

} // namespace caperjunction::fleet

#endif
