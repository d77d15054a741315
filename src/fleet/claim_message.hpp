#ifndef CAPERJUNCTION_FLEET_CLAIM_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_CLAIM_MESSAGE_HPP

#include "fleet/claim_key.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// One try of an entry host to become the only one that runs a call.
struct claim_attempt
{
    std::string host;
    /// The entry host's process; a later one knows nothing of this try.
    std::uint64_t generation = 0;
    /// Counts the tries of one process, from 1.
    std::uint64_t number = 0;

    friend bool operator==(claim_attempt const&,
                           claim_attempt const&) = default;
};

/// How far the holder of a claim is known to have come.
enum class claim_state : std::uint8_t
{
    /// Claimed; it may be dispatched at any moment, or have been.
    running,
    /// It ended; the holder may still have the answer.
    done,
};

/// Asks a witness to remember that `attempt` runs the call, unless it
/// remembers another one.
struct claim_request
{
    claim_key key;
    claim_attempt attempt;
    /// Equal on every resend of the same call; another body under the same
    /// key is another call, and must not get this one's answer.
    std::uint64_t fingerprint = 0;
    /// The list of hosts that the entry host chose the witnesses by.
    std::uint64_t list_revision = 0;
};

enum class claim_status : std::uint8_t
{
    granted,
    /// Another attempt has it.
    held,
    refused,
};

/// Why a witness takes no claim.
enum class claim_refusal : std::uint8_t
{
    none,
    /// It is about to stop, and has handed its claims over.
    leaving,
    /// It slept or is cut off, and doesn't know the list of today.
    view_outdated,
    /// Its list is newer and it is no witness of this key any more.
    not_a_witness,
    /// Its memory for claims is full.
    full,
};

/// A witness's answer to `claim_request`.
struct claim_reply
{
    claim_key key;
    /// The attempt that asked.
    claim_attempt attempt;
    claim_status status = claim_status::refused;
    /// With `granted`: whether the grant is a vote. A witness whose memory
    /// doesn't reach back far enough stores the claim but has no vote.
    bool vote = false;
    /// With `vote`: names the vote. It may move on to another witness while
    /// the attempt asks around, and must not count twice.
    std::uint64_t vote_origin = 0;
    /// With `vote`: how many witnesses may have a vote for this key.
    std::uint32_t voters = 0;
    claim_refusal refusal = claim_refusal::none;
    std::uint64_t list_revision = 0;
    /// With `held`: who has it, how far it is, and the body it is for.
    claim_attempt holder;
    claim_state holder_state = claim_state::running;
    std::uint64_t holder_fingerprint = 0;
};

/// The attempt is over and was never dispatched, nor will it be.
struct claim_release
{
    claim_key key;
    claim_attempt attempt;
};

/// The attempt ended after its dispatch; its host may have the answer.
struct claim_done
{
    claim_key key;
    claim_attempt attempt;
};

/// Asks an entry host whether an attempt that others see as running is still
/// alive; if it is not, that host releases it once more.
struct claim_query
{
    claim_key key;
    claim_attempt attempt;
};

/// A witness that leaves the witness set of some buckets has votes to give
/// away. Numbered per process of the sender, in order.
struct claim_offer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
};

/// The offer is welcome, if it comes to this process and at once.
struct claim_accept
{
    /// Of the host that accepts.
    std::uint64_t generation = 0;
    /// Of the host that offered.
    std::uint64_t offer_generation = 0;
    std::uint64_t number = 0;
};

/// One claim as it moves between witnesses.
struct claim_record
{
    claim_key key;
    claim_attempt attempt;
    std::uint64_t fingerprint = 0;
    claim_state state = claim_state::running;
    /// How much longer it has to be remembered.
    model::milliseconds remaining{0};
};

/// A vote and everything that it stands for.
struct claim_vote
{
    std::uint32_t bucket = 0;
    std::uint32_t voters = 0;
    std::uint64_t origin = 0;
};

/// Hands votes over, with all claims of their buckets. Counts only for the
/// process that accepted the offer, once, and within a short time.
struct claim_transfer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
    std::uint64_t to_generation = 0;
    std::vector<claim_vote> votes;
    std::vector<claim_record> claims;
};

/// The transfer is taken in, or was before.
struct claim_transfer_ack
{
    std::uint64_t offer_generation = 0;
    std::uint64_t number = 0;
};

/// Asks the host of the first run for its answer.
struct answer_query
{
    claim_key key;
    claim_attempt attempt;
    /// Chosen by the asker and returned with the answer.
    std::uint64_t ticket = 0;
};

/// The first run's answer, if that host still has it.
struct answer_reply
{
    claim_key key;
    std::uint64_t ticket = 0;
    bool found = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// Everything that hosts say to each other about non-repeatable calls.
using claim_message = std::variant<claim_request,
                                   claim_reply,
                                   claim_release,
                                   claim_done,
                                   claim_query,
                                   claim_offer,
                                   claim_accept,
                                   claim_transfer,
                                   claim_transfer_ack,
                                   answer_query,
                                   answer_reply>;

/// A message and the host that it goes to.
struct claim_send
{
    std::string to;
    claim_message message;
};

} // namespace caperjunction::fleet

#endif
