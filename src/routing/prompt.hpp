#ifndef CAPERJUNCTION_ROUTING_PROMPT_HPP
#define CAPERJUNCTION_ROUTING_PROMPT_HPP

#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// A stretch of a prompt that other requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a request says of its prompt; all zero for plain services.
struct prompt
{
    /// In the order of the prompt; the last belongs to the request alone.
    std::vector<prompt_part> parts;
    std::uint32_t tokens = 0;
    /// Most tokens that the answer may have.
    std::uint32_t max_output = 0;

    /// Tokens that other requests may have left in an engine's memory.
    std::uint32_t shared_tokens() const
    {
        std::uint32_t sum = 0;
        for (std::size_t place = 0; place + 1 < parts.size(); ++place) {
            sum += parts[place].tokens;
        }
        return sum;
    }

    /// Names what is shared: the last part but one, which implies all
    /// before it; 0 if nothing is.
    std::uint64_t prefix_id() const
    {
        return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
    }
};

} // namespace caperjunction::routing

#endif
