#ifndef CAPERJUNCTION_PROXY_MESSAGE_TEXT_HPP
#define CAPERJUNCTION_PROXY_MESSAGE_TEXT_HPP

#include "model/time.hpp"
#include "proxy/message_head.hpp"
#include "proxy/request_facts.hpp"
#include "proxy/wire_names.hpp"
#include "routing/refusal.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// What a host adds to a request for one upstream.
struct upstream_request
{
    std::string_view instance;
    /// Empty: the request needs no key.
    std::string_view team;
    model::milliseconds time_left{0};
    std::uint32_t rank = 0;
    /// Set where a stream goes on after an event that the caller has.
    std::string_view last_event_id;
};

/// The request as an upstream gets it: same method, target and body; without
/// the caller's key and without headers that only hosts may set.
std::string request_text(message_head const& head,
                         std::string_view body,
                         wire_names const& names,
                         upstream_request const& added);

/// How the length of an answer's body is told to the caller.
struct answer_framing
{
    /// Nothing: in chunks, or by the connection's end for HTTP/1.0.
    std::optional<std::uint64_t> length;
    bool keep_alive = true;
    /// HEAD, 204, 304: whatever the headers say, nothing follows.
    bool has_body = true;
    /// Set where the upstream has refused without running the request.
    std::optional<model::milliseconds> retry_after;
};

/// The head of an upstream's answer for a caller of HTTP/1.`minor_version`.
std::string answer_head_text(message_head const& head,
                             int minor_version,
                             answer_framing const& framing);

/// A whole answer of the host's own.
std::string refusal_text(routing::refusal const& refused,
                         std::string_view request_id,
                         wire_names const& names,
                         bool keep_alive,
                         bool is_head_request);

/// One chunk of a chunked body.
std::string chunk_text(std::string_view bytes);

constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace caperjunction::proxy

#endif
