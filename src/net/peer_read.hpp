#ifndef CAPERJUNCTION_NET_PEER_READ_HPP
#define CAPERJUNCTION_NET_PEER_READ_HPP

#include "fleet/peer_message.hpp"
#include "model/error.hpp"
#include "net/wire/peer_generated.h"

#include <cstdint>
#include <string>
#include <vector>

/// Converts verified tables into messages. The verifier checks offsets and
/// lengths but not values, so values that are used as an index or an enumerator
/// are checked here. Private to the codec.
namespace caperjunction::net::read {

/// \throws model::error, always.
[[noreturn]] void fail(char const* what);

/// Returns the enumerator of that number; fails if it is above `last`.
template <typename Enum>
Enum enumerator(std::uint8_t number, Enum last, char const* what)
{
    if (number > static_cast<std::uint8_t>(last)) {
        fail(what);
    }
    return static_cast<Enum>(number);
}

std::string text(flatbuffers::String const* value);
std::string text(flatbuffers::Vector<std::uint8_t> const* value);
std::vector<std::uint8_t> bytes(flatbuffers::Vector<std::uint8_t> const* value);

/// Returns the message of a frame whose body is a fleet message.
///
/// \throws model::error (bad_request) for an unknown body.
fleet::peer_message message(wire::Frame const& frame);

/// Returns the message of a frame about a non-repeatable call.
///
/// \throws model::error (bad_request) for an unknown body.
fleet::claim_message claim_message(wire::Frame const& frame);

} // namespace caperjunction::net::read

#endif
