#ifndef CAPERJUNCTION_PROXY_REQUEST_METADATA_HPP
#define CAPERJUNCTION_PROXY_REQUEST_METADATA_HPP

#include "model/time.hpp"
#include "proxy/message_head.hpp"
#include "proxy/wire_names.hpp"
#include "routing/prompt.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Metadata of a request, parsed once from its headers.
struct request_metadata
{
    std::string id;
    /// Id of the attempt that brought the first event of the stream that the
    /// caller takes up; empty if it names none.
    std::string resumed_id;
    /// Id of the last event that the caller has; empty if it states none.
    std::string last_event_id;
    std::string_view authority;
    /// Target without the query.
    std::string_view path;
    /// Empty if no key was sent.
    std::string_view key;
    /// How long the caller waits, counted from its send.
    std::optional<model::milliseconds> deadline;
    routing::prompt prompt;
};

/// Parses the metadata. Missing or invalid headers leave the defaults. \pre
/// `head` outlives the result and is not modified meanwhile.
request_metadata read_metadata(message_head const& head,
                               wire_names const& names);

} // namespace caperjunction::proxy

#endif
