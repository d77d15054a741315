#ifndef CAPERJUNCTION_PROXY_MESSAGE_TEXT_HPP
#define CAPERJUNCTION_PROXY_MESSAGE_TEXT_HPP

#include "model/time.hpp"
#include "proxy/message_head.hpp"
#include "proxy/request_metadata.hpp"
#include "proxy/wire_names.hpp"
#include "routing/refusal.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Header values that a host adds to a request for one upstream.
struct upstream_request
{
    std::string_view instance;
    /// Empty if the request needs no key.
    std::string_view team;
    model::milliseconds time_left{0};
    std::uint32_t rank = 0;
    /// Set when a stream resumes after an event that the caller has received.
    std::string_view last_event_id;
};

/// Serializes a request for an upstream. Method, target and body are unchanged;
/// the caller's key and headers that only hosts may set are removed.
std::string request_text(message_head const& head,
                         std::string_view body,
                         wire_names const& names,
                         upstream_request const& added);

/// How the body of an answer is delimited for the caller.
struct answer_framing
{
    /// If unset, the body is chunked, or delimited by the end of the connection
    /// for HTTP/1.0.
    std::optional<std::uint64_t> length;
    bool keep_alive = true;
    /// False for HEAD, 204 and 304: no body follows, regardless of the headers.
    bool has_body = true;
    /// Set if the upstream refused the request without running it.
    std::optional<model::milliseconds> retry_after;
};

/// Serializes the head of an upstream's answer for a caller of
/// HTTP/1.`minor_version`.
std::string answer_head_text(message_head const& head,
                             int minor_version,
                             answer_framing const& framing);

/// Serializes a complete refusal that this host generates itself.
std::string refusal_text(routing::refusal const& refused,
                         std::string_view request_id,
                         wire_names const& names,
                         bool keep_alive,
                         bool is_head_request);

/// Serializes one chunk of a chunked body.
std::string chunk_text(std::string_view bytes);

constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace caperjunction::proxy

#endif
