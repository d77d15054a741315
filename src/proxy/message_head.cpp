#include "proxy/message_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace caperjunction::proxy {
namespace {

constexpr std::array<std::string_view, 10> hop_by_hop{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

body_framing framing_of(message_head const& answer)
{
    if (answer.chunked) {
        return body_framing::chunked;
    }
    return answer.length ? body_framing::length : body_framing::connection;
}

std::string_view to_string(body_framing framing)
{
    constexpr std::array<std::string_view, 3> names{
        "length", "chunked", "connection"};
    return names[static_cast<std::size_t>(framing)];
}

bool header_names_equal(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
           && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
                  return lower(x) == lower(y);
              });
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(), [name](auto const& item) {
            return header_names_equal(item, name);
        });
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return value;
}

std::string const* message_head::find(std::string_view name) const
{
    for (header_line const& line : headers) {
        if (header_names_equal(line.name, name)) {
            return &line.value;
        }
    }
    return nullptr;
}

} // namespace caperjunction::proxy
