#ifndef CAPERJUNCTION_FLEET_CLAIM_TABLE_HPP
#define CAPERJUNCTION_FLEET_CLAIM_TABLE_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace caperjunction::fleet {

/// The claims stored by a witness, each until its expiry time.
///
/// Thread safety: none; owned by one witness.
class claim_table
{
public:
    struct claim
    {
        claim_attempt attempt;
        std::uint64_t fingerprint = 0;
        claim_state state = claim_state::running;
        model::time_point until{};
    };

    std::size_t size() const
    {
        return m_claims.size();
    }

    /// Returns null if there is no claim. The pointer is valid until the next
    /// change.
    claim const* find(claim_key key) const;

    /// Stores a claim and replaces any other of that key.
    void put(claim_key key, claim const& value);

    /// Marks the claim as done if it belongs to that attempt.
    void finish(claim_key key, claim_attempt const& attempt);

    /// Removes the claim if it belongs to that attempt and is not done.
    void erase(claim_key key, claim_attempt const& attempt);

    /// Removes the claims that have expired by `now`.
    void expire(model::time_point now);

    /// Returns all claims of the wanted buckets by bucket, for transfers.
    ///
    /// \pre wanted has one element per bucket.
    std::map<std::size_t, std::vector<claim_record>>
    collect(std::vector<bool> const& wanted, model::time_point now) const;

    /// See `witness::fingerprint`.
    void fingerprint(model::time_point now, std::string& out) const;

private:
    std::map<claim_key, claim> m_claims;
    std::set<std::pair<model::time_point, claim_key>> m_deadlines;
};

} // namespace caperjunction::fleet

#endif
