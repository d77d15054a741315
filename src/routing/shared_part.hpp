#ifndef CAPERJUNCTION_ROUTING_SHARED_PART_HPP
#define CAPERJUNCTION_ROUTING_SHARED_PART_HPP

#include "routing/prompt.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <vector>

namespace caperjunction::routing {

enum class part_kind : std::uint8_t
{
    /// A part of a prompt.
    prompt,
    /// All of a request, which its caller may repeat: `request_key`.
    request,
};

/// What requests for one service have in common: a part of their prompts or, if
/// they are repeats, all of them.
struct shared_part
{
    /// Key from `software_service_key`.
    std::uint64_t service = 0;
    std::uint64_t id = 0;
    part_kind kind = part_kind::prompt;

    friend bool operator==(shared_part const&, shared_part const&) = default;

    friend bool operator<(shared_part const& a, shared_part const& b)
    {
        return std::tie(a.service, a.kind, a.id)
               < std::tie(b.service, b.kind, b.id);
    }
};

struct shared_part_hash
{
    std::size_t operator()(shared_part const& part) const
    {
        constexpr std::uint64_t odd = 0x9e3779b97f4a7c15;
        auto const kind = static_cast<std::uint64_t>(part.kind);
        return static_cast<std::size_t>((part.id ^ (part.service + kind) * odd)
                                        * odd);
    }
};

/// Returns the parts of a prompt that other requests may share, sorted, each
/// one once. Parts without a valid id are left out.
///
/// Thread safety: any thread.
std::vector<shared_part> shared_parts_of(prompt const& from,
                                         std::uint64_t service);

/// Returns whether a sorted list of parts has all of another sorted list.
///
/// Thread safety: any thread.
inline bool includes(std::vector<shared_part> const& all,
                     std::vector<shared_part> const& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

/// Returns the parts of two sorted lists, sorted, each one once.
///
/// Thread safety: any thread.
inline std::vector<shared_part> union_of(std::vector<shared_part> const& a,
                                         std::vector<shared_part> const& b)
{
    std::vector<shared_part> all;
    std::set_union(
        a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(all));
    return all;
}

/// Returns whether a sorted list of parts has a part.
///
/// Thread safety: any thread.
inline bool contains(std::vector<shared_part> const& all,
                     shared_part const& part)
{
    return std::binary_search(all.begin(), all.end(), part);
}

} // namespace caperjunction::routing

#endif
