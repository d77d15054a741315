#include "net/peer_proof.hpp"

#include "model/error.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace caperjunction::net {
namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t proof_bytes = 32;

// Each field is prefixed with its length, so that two different handshakes
// never produce the same text.
template <typename Bytes>
void append(std::string& text, Bytes const& bytes)
{
    text += std::to_string(bytes.size());
    text += ':';
    text.append(bytes.begin(), bytes.end());
}

} // namespace

std::vector<std::uint8_t> make_nonce()
{
    std::vector<std::uint8_t> nonce(nonce_bytes);
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw model::error(model::error_kind::unavailable,
                           "the system provides no random bytes",
                           "check that /dev/urandom is readable");
    }
    return nonce;
}

std::vector<std::uint8_t> make_proof(std::string_view secret,
                                     proof_side side,
                                     peer_handshake const& handshake)
{
    std::string text =
        side == proof_side::dialer ? "peer hello 1;" : "peer welcome 1;";
    append(text, handshake.challenge_nonce);
    append(text, handshake.hello_nonce);
    append(text, handshake.dialer);
    append(text, handshake.acceptor);
    std::vector<std::uint8_t> proof(proof_bytes);
    unsigned size = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<unsigned char const*>(text.data()),
         text.size(),
         proof.data(),
         &size);
    return proof;
}

bool equal_proofs(std::vector<std::uint8_t> const& left,
                  std::vector<std::uint8_t> const& right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace caperjunction::net
