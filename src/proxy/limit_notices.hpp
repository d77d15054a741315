#ifndef CAPERJUNCTION_PROXY_LIMIT_NOTICES_HPP
#define CAPERJUNCTION_PROXY_LIMIT_NOTICES_HPP

#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// Requests a second that a header names; nothing if it is no decimal number of
/// zero or more.
std::optional<double> parse_request_limit(std::string_view text);

/// Learns from an answer that `from` gave to this host how many requests it
/// takes. Only an answer that it has worked for tells that a limit is over.
void record_limit(relay_context& context,
                  routing::upstream_state& from,
                  message_head const& answer);

/// Learns what other hosts have told, and how this host shares limits now.
void apply_advertised_limits(relay_context& context);

/// What this host's own answers have said, for the others.
std::vector<routing::advertised_limit>
limits_to_advertise(relay_context const& context);

} // namespace caperjunction::proxy

#endif
