#include "proxy/tunnel_frames.hpp"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

namespace caperjunction::proxy {
namespace {

/// The type of a frame's length, which precedes it in little-endian order.
using frame_size = flatbuffers::uoffset_t;

constexpr std::size_t prefix_bytes = sizeof(frame_size);

std::string prefix_of(std::size_t size)
{
    std::string prefix(prefix_bytes, '\0');
    flatbuffers::WriteScalar(prefix.data(), static_cast<frame_size>(size));
    return prefix;
}

} // namespace

std::string encode_tunnel_bytes(std::string_view bytes)
{
    return prefix_of(bytes.size()).append(bytes);
}

std::string encode_tunnel_end()
{
    return prefix_of(0);
}

std::string_view tunnel_frames::next(std::string_view& received)
{
    while (m_left == 0 && !m_has_ended && !received.empty()) {
        m_prefix.push_back(received.front());
        received.remove_prefix(1);
        if (m_prefix.size() == prefix_bytes) {
            m_left = flatbuffers::ReadScalar<frame_size>(m_prefix.data());
            m_has_ended = m_left == 0;
            m_prefix.clear();
        }
    }
    std::string_view const bytes =
        received.substr(0, std::min(m_left, received.size()));
    received.remove_prefix(bytes.size());
    m_left -= bytes.size();
    return bytes;
}

} // namespace caperjunction::proxy
