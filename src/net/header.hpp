#ifndef CAPERJUNCTION_NET_HEADER_HPP
#define CAPERJUNCTION_NET_HEADER_HPP

#include <string>

namespace caperjunction::net {

/// HTTP header field.
struct header
{
    std::string name;
    std::string value;
};

} // namespace caperjunction::net

#endif
