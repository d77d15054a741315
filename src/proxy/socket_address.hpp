#ifndef CAPERJUNCTION_PROXY_SOCKET_ADDRESS_HPP
#define CAPERJUNCTION_PROXY_SOCKET_ADDRESS_HPP

#include "model/endpoint.hpp"

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace caperjunction::proxy {

/// Returns the IPv4 socket address of `at`, or std::nullopt if it has none.
/// Thread safety: any thread.
std::optional<sockaddr_in> ipv4_address(model::endpoint const& at);

/// Returns the address at which a host is to listen as `flag` says.
///
/// \throws model::error (bad_settings) if it isn't an IPv4 address.
sockaddr_in listen_address(model::endpoint const& at, std::string_view flag);

} // namespace caperjunction::proxy

#endif
