#ifndef CAPERJUNCTION_ROUTING_STREAM_ORIGIN_HPP
#define CAPERJUNCTION_ROUTING_STREAM_ORIGIN_HPP

#include "routing/software.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// Which software began a stream.
struct stream_origin
{
    /// Key from `stream_key`.
    std::uint64_t stream = 0;
    software began_at;

    friend bool operator==(stream_origin const&,
                           stream_origin const&) = default;
};

/// Returns the key of the stream whose first event the attempt `request_id`
/// brought. Thread safety: any thread.
inline std::uint64_t stream_key(std::string_view request_id)
{
    return XXH3_64bits(request_id.data(), request_id.size());
}

} // namespace caperjunction::routing

#endif
