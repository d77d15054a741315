#ifndef CAPERJUNCTION_NET_PEER_PROOF_HPP
#define CAPERJUNCTION_NET_PEER_PROOF_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Everything that both ends of a new connection have told each other.
struct peer_handshake
{
    std::vector<std::uint8_t> challenge_nonce;
    std::vector<std::uint8_t> hello_nonce;
    /// The host that made the connection.
    std::string dialer;
    /// The host that it wanted to reach.
    std::string acceptor;
};

/// Which end a proof comes from; one end's is worth nothing for the other.
enum class proof_side : std::uint8_t
{
    dialer,
    acceptor,
};

/// Shortest secret that is accepted, in bytes.
inline constexpr std::size_t min_secret_bytes = 16;

/// Bytes that nobody can foresee.
///
/// \throws model::error (unavailable) if the system has none.
std::vector<std::uint8_t> make_nonce();

/// HMAC-SHA256 under the secret over the exchange. Both nonces are in it, so
/// that no recorded proof can be used again, and both names, so that none
/// can be used towards another host.
std::vector<std::uint8_t> make_proof(std::string_view secret,
                                     proof_side side,
                                     peer_handshake const& handshake);

/// Compares in a time that does not depend on where the two differ.
bool equal_proofs(std::vector<std::uint8_t> const& left,
                  std::vector<std::uint8_t> const& right);

} // namespace caperjunction::net

#endif
