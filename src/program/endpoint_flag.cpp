#include "program/endpoint_flag.hpp"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <cstdint>

namespace caperjunction::program {
namespace {

bool is_numeric_address(std::string const& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1
           || inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

} // namespace

bool AbslParseFlag(absl::string_view text,
                   endpoint_flag* flag,
                   std::string* error)
{
    flag->value = {};
    if (text.empty()) {
        return true;
    }
    std::size_t const colon = text.rfind(':');
    std::uint32_t port = 0;
    constexpr std::uint32_t last_port = 65'535;
    bool const is_valid =
        colon != absl::string_view::npos
        && absl::SimpleAtoi(text.substr(colon + 1), &port) && port <= last_port
        && is_numeric_address(std::string(text.substr(0, colon)));
    if (!is_valid) {
        *error = "use a numeric address and a port, as in 127.0.0.1:8080";
        return false;
    }
    flag->value.address = std::string(text.substr(0, colon));
    flag->value.port = static_cast<std::uint16_t>(port);
    return true;
}

std::string AbslUnparseFlag(endpoint_flag const& flag)
{
    if (flag.value.address.empty()) {
        return "";
    }
    return fmt::format("{}:{}", flag.value.address, flag.value.port);
}

} // namespace caperjunction::program
