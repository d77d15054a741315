#ifndef CAPERJUNCTION_NET_PEER_CONTROL_HPP
#define CAPERJUNCTION_NET_PEER_CONTROL_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::net {

/// First frame on a connection, sent by the accepting host.
struct peer_challenge
{
    std::vector<std::uint8_t> nonce;
};

/// The dialing host identifies itself and proves that it knows the secret.
struct peer_hello
{
    std::string host;
    std::vector<std::uint8_t> nonce;
    std::vector<std::uint8_t> proof;
};

/// The accepting host proves that it knows the secret; messages may follow.
struct peer_welcome
{
    std::vector<std::uint8_t> proof;
};

/// Liveness check of this connection.
struct peer_ping
{
    std::uint64_t number = 0;
};

struct peer_pong
{
    std::uint64_t number = 0;
};

} // namespace caperjunction::net

#endif
