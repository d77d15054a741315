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

/// The claims that a witness remembers, each until its time is over.
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

    /// Null if nothing is remembered. The pointer lives until the next change.
    claim const* find(claim_key key) const;

    /// Remembers a claim, in place of any other under that key.
    void put(claim_key key, claim const& value);

    /// The attempt ended after its dispatch, if it is the one remembered.
    void finish(claim_key key, claim_attempt const& attempt);

    /// Forgets the claim, if it is that attempt's and not done.
    void erase(claim_key key, claim_attempt const& attempt);

    /// Forgets what has lapsed by `now`.
    void expire(model::time_point now);

    /// All claims of the wanted buckets by bucket, for transfers.
    ///
    /// \pre wanted has a place for each bucket.
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
