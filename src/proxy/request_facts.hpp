#ifndef CAPERJUNCTION_PROXY_REQUEST_FACTS_HPP
#define CAPERJUNCTION_PROXY_REQUEST_FACTS_HPP

#include "model/time.hpp"
#include "proxy/message_head.hpp"
#include "proxy/wire_names.hpp"
#include "routing/prompt.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// What a caller's headers say, decoded once.
struct request_facts
{
    std::string id;
    std::string_view authority;
    /// The target without its query.
    std::string_view path;
    /// Empty: none was sent.
    std::string_view key;
    /// How long the caller waits, from its send.
    std::optional<model::milliseconds> deadline;
    routing::prompt prompt;
};

/// Reads the facts; what is missing or unreadable keeps its default.
/// \pre The result is used as long as `head` is unchanged.
request_facts read_facts(message_head const& head, wire_names const& names);

} // namespace caperjunction::proxy

#endif
