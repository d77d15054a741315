#ifndef CAPERJUNCTION_ROUTING_PROMPT_HPP
#define CAPERJUNCTION_ROUTING_PROMPT_HPP

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// A section of a prompt that other requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Prompt of a request as declared by its caller; all zero for plain services.
struct prompt
{
    /// In the order of the prompt. The last part is not shared with other
    /// requests.
    std::vector<prompt_part> parts;
    std::uint32_t tokens = 0;
    /// Maximum tokens of the answer.
    std::uint32_t max_output = 0;

    /// Returns the tokens that other requests may have left in an engine's
    /// cache.
    std::uint32_t shared_tokens() const
    {
        std::uint32_t sum = 0;
        for (std::size_t place = 0; place + 1 < parts.size(); ++place) {
            sum += parts[place].tokens;
        }
        return sum;
    }

    /// Returns the tokens that only this request has.
    std::uint32_t own_tokens() const
    {
        return tokens - std::min(tokens, shared_tokens());
    }

    /// Returns the tokens that the request holds in an engine's KV cache by the
    /// end of its answer, without the parts that it shares.
    std::uint64_t memory_tokens() const
    {
        return std::uint64_t{own_tokens()} + max_output;
    }

    /// Identifies the shared prefix: the id of the last part but one, which
    /// implies all parts before it; 0 if nothing is shared.
    std::uint64_t prefix_id() const
    {
        return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
    }
};

} // namespace caperjunction::routing

#endif
