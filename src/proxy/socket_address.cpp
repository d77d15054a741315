#include "proxy/socket_address.hpp"

#include "model/error.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

namespace caperjunction::proxy {

std::optional<sockaddr_in> ipv4_address(model::endpoint const& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    // An address that can't be read leaves that of all interfaces.
    if (inet_pton(AF_INET, at.address.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

sockaddr_in listen_address(model::endpoint const& at, std::string_view flag)
{
    auto const address = ipv4_address(at);
    if (!address) {
        throw model::error(
            model::error_kind::bad_settings,
            fmt::format(
                "--{} has an address that isn't IPv4: {}", flag, at.address),
            "give an IPv4 address of this host, as in 127.0.0.1:8080");
    }
    return *address;
}

} // namespace caperjunction::proxy
