#ifndef CAPERJUNCTION_PROXY_MESSAGE_HEAD_HPP
#define CAPERJUNCTION_PROXY_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// One header line, with the name in its original case.
struct header_line
{
    std::string name;
    std::string value;
};

/// Start line and headers of an HTTP message.
struct message_head
{
    /// Set for requests only.
    std::string method;
    std::string target;
    /// Set for answers only.
    int status = 0;
    std::string reason;
    /// 0 for HTTP/1.0.
    int minor_version = 1;
    std::vector<header_line> headers;
    std::optional<std::uint64_t> length;
    bool chunked = false;
    /// Whether the sender keeps the connection open.
    bool keep_alive = true;

    /// Returns the first value of a header, matched case-insensitively; null if
    /// absent.
    std::string const* find(std::string_view name) const;
};

/// How the end of an answer's body is found.
enum class body_framing : std::uint8_t
{
    length,
    chunked,
    /// The body ends with the connection.
    connection,
};

/// Returns how an answer with this head ends, if it has a body.
body_framing framing_of(message_head const& answer);

/// Returns the stable name for logs.
std::string_view to_string(body_framing framing);

/// Compares header names case-insensitively.
bool header_names_equal(std::string_view a, std::string_view b);

/// Whether a header applies to one connection only and is not forwarded.
bool is_hop_by_hop(std::string_view name);

/// Parses `text` as an unsigned decimal integer. Returns std::nullopt if it is
/// anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace caperjunction::proxy

#endif
