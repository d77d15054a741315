#ifndef CAPERJUNCTION_NET_PEER_PROOF_HPP
#define CAPERJUNCTION_NET_PEER_PROOF_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Values that both ends of a new connection have exchanged.
struct peer_handshake
{
    std::vector<std::uint8_t> challenge_nonce;
    std::vector<std::uint8_t> hello_nonce;
    /// Host that opened the connection.
    std::string dialer;
    /// Host that the dialer intends to reach.
    std::string acceptor;
};

/// End that produced a proof. A proof of one end is invalid for the other, so
/// that it cannot be reflected.
enum class proof_side : std::uint8_t
{
    dialer,
    acceptor,
};

/// Minimum length of the secret, in bytes.
inline constexpr std::size_t min_secret_bytes = 16;

/// Returns unpredictable bytes.
///
/// \throws model::error (unavailable) if the system provides none.
std::vector<std::uint8_t> make_nonce();

/// Returns the HMAC-SHA256 of the handshake, keyed with the secret. It covers
/// both nonces, so that a recorded proof cannot be replayed, and both names, so
/// that a proof cannot be used towards another host.
std::vector<std::uint8_t> make_proof(std::string_view secret,
                                     proof_side side,
                                     peer_handshake const& handshake);

/// Compares in constant time.
bool equal_proofs(std::vector<std::uint8_t> const& left,
                  std::vector<std::uint8_t> const& right);

} // namespace caperjunction::net

#endif
