#include "bench/claims_explorer/envelope_hash.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <xxhash.h>

#include <string>

namespace caperjunction::claims_explorer {

namespace {

using fleet::append;

void add(std::string& out, fleet::claim_request const& what)
{
    append(out, what.attempt);
    append(out, what.list_revision);
}

void add(std::string& out, fleet::claim_reply const& what)
{
    append(out, what.attempt);
    append(out, static_cast<std::uint64_t>(what.status));
    append(out, static_cast<std::uint64_t>(what.refusal));
    append(out, what.vote ? what.vote_origin : 0);
    append(out, what.voters);
    append(out, what.holder);
    append(out, static_cast<std::uint64_t>(what.holder_state));
}

void add(std::string& out, fleet::claim_release const& what)
{
    append(out, what.attempt);
}

void add(std::string& out, fleet::claim_done const& what)
{
    append(out, what.attempt);
}

void add(std::string& out, fleet::claim_query const& what)
{
    append(out, what.attempt);
}

void add(std::string& out, fleet::claim_offer const& what)
{
    append(out, what.generation);
    append(out, what.number);
}

void add(std::string& out, fleet::claim_accept const& what)
{
    append(out, what.generation);
    append(out, what.offer_generation);
    append(out, what.number);
}

void add(std::string& out, fleet::claim_transfer const& what)
{
    append(out, what.generation);
    append(out, what.number);
    append(out, what.to_generation);
    for (auto const& vote : what.votes) {
        append(out, vote.origin);
    }
    for (auto const& claim : what.claims) {
        append(out, claim.attempt);
        append(out, static_cast<std::uint64_t>(claim.state));
        append(out, static_cast<std::uint64_t>(claim.remaining.count()));
    }
}

void add(std::string& out, fleet::claim_transfer_ack const& what)
{
    append(out, what.offer_generation);
    append(out, what.number);
}

// Stored answers are not part of the search.
void add(std::string& /*out*/, fleet::answer_query const& /*what*/)
{
}

void add(std::string& /*out*/, fleet::answer_reply const& /*what*/)
{
}

} // namespace

std::uint64_t hash_of(envelope const& packet)
{
    std::string bytes;
    append(bytes, packet.from);
    append(bytes, packet.to);
    append(bytes, packet.message.index());
    std::visit(
        [&](auto const& what) {
            add(bytes, what);
        },
        packet.message);
    return XXH3_64bits(bytes.data(), bytes.size()) & ~std::uint64_t{1};
}

} // namespace caperjunction::claims_explorer
