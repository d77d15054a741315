#ifndef CAPERJUNCTION_LISTS_CHANGE_HPP
#define CAPERJUNCTION_LISTS_CHANGE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::lists {

enum class change_kind : std::uint8_t
{
    added,
    removed,
    altered,
};

constexpr std::string_view to_string(change_kind kind)
{
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::altered:
        break;
    }
    return "altered";
}

/// Entry that differs between two revisions of a list.
struct change
{
    change_kind kind = change_kind::altered;
    /// Path made of names, e.g. `plans/flagship` or `teams/desk/otaru`.
    std::string entry;

    friend bool operator==(change const&, change const&) = default;
};

} // namespace caperjunction::lists

#endif
