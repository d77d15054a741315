#ifndef CAPERJUNCTION_NET_PEER_READ_HPP
#define CAPERJUNCTION_NET_PEER_READ_HPP

#include "fleet/peer_message.hpp"
#include "model/error.hpp"
#include "net/wire/peer_generated.h"

#include <cstdint>
#include <string>
#include <vector>

/// Reads verified tables into messages. Verifying makes sure of offsets and
/// lengths, not of values: whatever indexes or chooses is checked here.
/// Private to the codec.
namespace caperjunction::net::read {

/// \throws model::error, always.
[[noreturn]] void fail(char const* what);

/// The enumerator of that number, if it is not above `last`.
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

/// The message of a frame whose body is one of the fleet's.
///
/// \throws model::error (bad_request) for an unknown body.
fleet::peer_message message(wire::Frame const& frame);

/// The same for the messages about non-repeatable calls.
fleet::claim_message claim_message(wire::Frame const& frame);

} // namespace caperjunction::net::read

#endif
