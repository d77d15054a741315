#ifndef CAPERJUNCTION_NET_HEADER_HPP
#define CAPERJUNCTION_NET_HEADER_HPP

#include <string>

namespace caperjunction::net {

/// One header of a request or an answer.
struct header
{
    std::string name;
    std::string value;
};

} // namespace caperjunction::net

#endif
