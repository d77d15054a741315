#ifndef CAPERJUNCTION_PROXY_MESSAGE_HEAD_HPP
#define CAPERJUNCTION_PROXY_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// One header line; the name as it was sent.
struct header_line
{
    std::string name;
    std::string value;
};

/// Everything of an HTTP message before its body.
struct message_head
{
    /// Requests only.
    std::string method;
    std::string target;
    /// Answers only.
    int status = 0;
    std::string reason;
    /// 0 for HTTP/1.0.
    int minor_version = 1;
    std::vector<header_line> headers;
    std::optional<std::uint64_t> length;
    bool chunked = false;
    /// The sender keeps the connection open.
    bool keep_alive = true;

    /// The first value of a header, in any case of letters; null if absent.
    std::string const* find(std::string_view name) const;
};

/// Compares as header names are compared.
bool header_names_equal(std::string_view a, std::string_view b);

/// Headers that concern one connection and not the message.
bool is_hop_by_hop(std::string_view name);

/// `text` as a whole decimal number; nothing if it is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace caperjunction::proxy

#endif
