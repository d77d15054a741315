#ifndef CAPERJUNCTION_FLEET_CLAIM_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_CLAIM_MESSAGE_HPP

#include "fleet/claim_key.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// One attempt of an entry host to become the only one that runs a call.
struct claim_attempt
{
    std::string host;
    /// The entry host's process; a later process has no state of this attempt.
    std::uint64_t generation = 0;
    /// Counts the attempts of one process, from 1.
    std::uint64_t number = 0;

    friend bool operator==(claim_attempt const&,
                           claim_attempt const&) = default;
};

/// Known progress of the holder of a claim.
enum class claim_state : std::uint8_t
{
    /// Claimed; it may be dispatched at any time, or has been.
    running,
    /// Ended; the holder may still have the answer.
    done,
};

/// Requests that a witness record `attempt` as the holder of the call, unless
/// it has recorded another one.
struct claim_request
{
    claim_key key;
    claim_attempt attempt;
    /// Equal on every resend of the same call. A different body under the same
    /// key is a different call and must not get this call's answer.
    std::uint64_t fingerprint = 0;
    /// Revision of the list of hosts by which the entry host chose the
    /// witnesses.
    std::uint64_t list_revision = 0;
};

enum class claim_status : std::uint8_t
{
    granted,
    /// Another attempt holds the claim.
    held,
    refused,
};

/// Why a witness refuses a claim.
enum class claim_refusal : std::uint8_t
{
    none,
    /// The witness is about to stop and has handed its claims over.
    leaving,
    /// The witness was paused or is cut off; its list may be outdated.
    view_outdated,
    /// By its newer list the host is no longer a witness of this key.
    not_a_witness,
    /// Its claim table is full.
    full,
};

/// A witness's answer to `claim_request`.
struct claim_reply
{
    claim_key key;
    /// The requesting attempt.
    claim_attempt attempt;
    claim_status status = claim_status::refused;
    /// With `granted`: whether the grant is a vote. A witness that has not been
    /// in the witness set for long enough stores the claim but has no vote.
    bool vote = false;
    /// With `vote`: identifies the vote. It may move to another witness while
    /// the attempt collects replies, and must not count twice.
    std::uint64_t vote_origin = 0;
    /// With `vote`: number of witnesses that may have a vote for this key.
    std::uint32_t voters = 0;
    claim_refusal refusal = claim_refusal::none;
    std::uint64_t list_revision = 0;
    /// With `held`: the holder, its progress, and the fingerprint of its body.
    claim_attempt holder;
    claim_state holder_state = claim_state::running;
    std::uint64_t holder_fingerprint = 0;
};

/// The attempt is over; it was not and will not be dispatched.
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

/// Asks an entry host whether an attempt that witnesses record as running is
/// still active. If not, that host sends its release or end again.
struct claim_query
{
    claim_key key;
    claim_attempt attempt;
};

/// Offers votes: the sender leaves the witness set of some buckets. Numbered
/// in order per process of the sender.
struct claim_offer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
};

/// Accepts an offer. The transfer has to reach this process within the
/// transfer lease.
struct claim_accept
{
    /// Generation of the accepting host.
    std::uint64_t generation = 0;
    /// Generation of the offering host.
    std::uint64_t offer_generation = 0;
    std::uint64_t number = 0;
};

/// One claim in a transfer between witnesses.
struct claim_record
{
    claim_key key;
    claim_attempt attempt;
    std::uint64_t fingerprint = 0;
    claim_state state = claim_state::running;
    /// Remaining retention time.
    model::milliseconds remaining{0};
};

/// One vote of a bucket in a transfer.
struct claim_vote
{
    std::uint32_t bucket = 0;
    std::uint32_t voters = 0;
    std::uint64_t origin = 0;
};

/// Transfers votes with all claims of their buckets. Valid only for the process
/// that accepted the offer, once, and within the transfer lease.
struct claim_transfer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
    std::uint64_t to_generation = 0;
    std::vector<claim_vote> votes;
    std::vector<claim_record> claims;
};

/// The transfer has been imported, now or before.
struct claim_transfer_ack
{
    std::uint64_t offer_generation = 0;
    std::uint64_t number = 0;
};

/// Requests the answer from the host of the first run.
struct answer_query
{
    claim_key key;
    claim_attempt attempt;
    /// Chosen by the requesting host and returned with the answer.
    std::uint64_t ticket = 0;
};

/// The first run's answer, if the host still has it.
struct answer_reply
{
    claim_key key;
    std::uint64_t ticket = 0;
    bool found = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// Every message between hosts about non-repeatable calls.
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

/// A message and its destination host.
struct claim_send
{
    std::string to;
    claim_message message;
};

} // namespace caperjunction::fleet

#endif
