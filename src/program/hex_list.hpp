#ifndef CAPERJUNCTION_PROGRAM_HEX_LIST_HPP
#define CAPERJUNCTION_PROGRAM_HEX_LIST_HPP

#include "routing/shared_part.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::program {

/// Lists a number of each item in hexadecimal, for a log line. Long lists are
/// cut.
///
/// Thread safety: any thread.
template <typename Item, typename Number>
std::string hex_list(std::vector<Item> const& items, Number number_of)
{
    constexpr std::size_t max_listed = 32;
    std::string text;
    std::size_t const count = std::min(items.size(), max_listed);
    for (std::size_t place = 0; place < count; ++place) {
        text += fmt::format(
            "{}{:x}", place == 0 ? "" : ",", number_of(items[place]));
    }
    return text;
}

/// Lists the ids of parts.
///
/// Thread safety: any thread.
template <typename Part>
std::string ids_of(std::vector<Part> const& parts)
{
    return hex_list(parts, [](Part const& part) {
        return part.id;
    });
}

/// Lists the ids of those of one kind.
///
/// Thread safety: any thread.
template <typename Part>
std::string ids_of(std::vector<Part> all, routing::part_kind kind)
{
    std::erase_if(all, [kind](Part const& part) {
        return part.kind != kind;
    });
    return ids_of(all);
}

/// Lists numbers.
///
/// Thread safety: any thread.
inline std::string hex_list(std::vector<std::uint64_t> const& numbers)
{
    return hex_list(numbers, [](std::uint64_t number) {
        return number;
    });
}

} // namespace caperjunction::program

#endif
