#ifndef CAPERJUNCTION_ROUTING_REQUEST_KEY_HPP
#define CAPERJUNCTION_ROUTING_REQUEST_KEY_HPP

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// What a caller's repeats of one request have in common.
struct repeated_request
{
    std::string_view method;
    std::string_view authority;
    /// With its query.
    std::string_view target;
    /// The caller's team; if it has none, its key, which may be empty. The keys
    /// of a team change.
    std::string_view caller;
    std::string_view body;
};

/// Returns the key of a request, the same on all hosts and for each repeat.
///
/// Thread safety: any thread.
inline std::uint64_t request_key(repeated_request const& from)
{
    auto const hash = [](std::string_view text) {
        return XXH3_64bits(text.data(), text.size());
    };
    std::array<std::uint64_t, 5> const hashes{hash(from.method),
                                              hash(from.authority),
                                              hash(from.target),
                                              hash(from.caller),
                                              hash(from.body)};
    return XXH3_64bits(hashes.data(), sizeof hashes);
}

} // namespace caperjunction::routing

#endif
