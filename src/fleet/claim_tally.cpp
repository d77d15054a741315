#include "fleet/claim_tally.hpp"

#include <algorithm>
#include <set>

namespace caperjunction::fleet {

claim_tally count_votes(claim_call const& call, claim_settings const& settings)
{
    claim_tally tally;
    auto voters = static_cast<std::uint32_t>(call.witnesses.size());
    // Counted by origin: a vote that is transferred after it was given to this
    // attempt would otherwise count at both hosts, and two votes would pass for
    // three.
    std::set<std::uint64_t> origins;
    for (auto const& name : call.witnesses) {
        auto const found = call.replies.find(name);
        if (found == call.replies.end()) {
            ++tally.pending;
            continue;
        }
        claim_reply const& reply = found->second;
        if (reply.status == claim_status::granted && reply.vote) {
            origins.insert(reply.vote_origin);
            voters = std::max(voters, reply.voters);
        }
    }
    tally.votes = static_cast<std::uint32_t>(origins.size());
    int const majority = static_cast<int>(voters / 2 + 1);
    int const quorum = std::max(1, majority + settings.quorum_delta);
    tally.quorum = static_cast<std::uint32_t>(quorum);
    return tally;
}

claim_reply const* find_holder(claim_call const& call)
{
    claim_reply const* running = nullptr;
    for (auto const& [name, reply] : call.replies) {
        if (reply.status != claim_status::held) {
            continue;
        }
        if (reply.holder_state == claim_state::done) {
            return &reply;
        }
        running = &reply;
    }
    return running;
}

} // namespace caperjunction::fleet
