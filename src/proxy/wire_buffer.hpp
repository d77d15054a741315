#ifndef CAPERJUNCTION_PROXY_WIRE_BUFFER_HPP
#define CAPERJUNCTION_PROXY_WIRE_BUFFER_HPP

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Returns the message in `bytes`, or null if they fail verification.
///
/// Thread safety: any thread. The message is valid as long as the bytes.
template <typename Message>
Message const* verified(std::string_view bytes)
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    return verifier.VerifyBuffer<Message>(nullptr)
               ? flatbuffers::GetRoot<Message>(data)
               : nullptr;
}

/// Returns the bytes of a finished message.
///
/// Thread safety: any thread.
inline std::string text_of(flatbuffers::FlatBufferBuilder const& builder)
{
    return {reinterpret_cast<char const*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

} // namespace caperjunction::proxy

#endif
