#ifndef CAPERJUNCTION_MODEL_ENDPOINT_HPP
#define CAPERJUNCTION_MODEL_ENDPOINT_HPP

#include <cstdint>
#include <string>

namespace caperjunction::model {

/// Numeric IP address and port. Host names are never resolved.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

} // namespace caperjunction::model

#endif
