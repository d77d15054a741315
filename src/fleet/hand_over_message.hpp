#ifndef CAPERJUNCTION_FLEET_HAND_OVER_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_HAND_OVER_MESSAGE_HPP

#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

struct header_field
{
    std::string name;
    std::string value;

    friend bool operator==(header_field const&, header_field const&) = default;
};

/// Requests that another host serve a caller's request (at most one hop).
struct hand_over_request
{
    model::request_id id;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    /// Time the request has waited so far. A duration, because the clocks of
    /// two hosts differ.
    model::milliseconds waited{0};

    friend bool operator==(hand_over_request const&,
                           hand_over_request const&) = default;
};

/// A part of the answer. Only the first has `status` and `headers`.
struct hand_over_chunk
{
    model::request_id id;
    /// 0 in all parts except the first.
    std::uint16_t status = 0;
    std::vector<header_field> headers;
    std::string bytes;

    friend bool operator==(hand_over_chunk const&,
                           hand_over_chunk const&) = default;
};

/// How the handed-over request ended at the other host.
enum class hand_over_result : std::uint8_t
{
    /// The complete answer has been sent in chunks.
    complete,
    /// The other host refused it; nothing was sent to an upstream.
    refused,
    /// The answer is incomplete; `outcome` tells whether the request may have
    /// run.
    broken,
};

/// The last message about a handed-over request, from the serving host.
struct hand_over_end
{
    model::request_id id;
    hand_over_result result = hand_over_result::complete;
    model::outcome outcome = model::outcome::unknown;
    std::string reason;

    friend bool operator==(hand_over_end const&,
                           hand_over_end const&) = default;
};

/// The caller disconnected, or the answer is no longer needed.
struct hand_over_cancel
{
    model::request_id id;

    friend bool operator==(hand_over_cancel const&,
                           hand_over_cancel const&) = default;
};

} // namespace caperjunction::fleet

#endif
