#ifndef CAPERJUNCTION_PROXY_WIRE_NAMES_HPP
#define CAPERJUNCTION_PROXY_WIRE_NAMES_HPP

#include <string>
#include <vector>

namespace caperjunction::proxy {

/// The headers that callers and upstreams use, by what they hold.
struct wire_names
{
    /// One try of one caller; upstreams repeat it in their answers.
    std::string request_id;
    /// Milliseconds that the receiver's work is still wanted.
    std::string deadline_ms;
    /// ID:TOKENS of each part of the prompt, in order.
    std::string prompt_parts;
    /// Prompt tokens and most output tokens.
    std::string token_counts;
    /// The last whole event that the receiver of a stream has.
    std::string last_event_id;
    /// An upstream's mark on an answer that is its own.
    std::string seal;
    /// The team that holds the caller's key; only hosts set it.
    std::string team;
    /// The one upstream that may run the request; only hosts set it.
    std::string expected_instance;
    /// The upstream has not run the request.
    std::string not_run;
    /// Requests a second that an upstream in need takes from all hosts.
    std::string request_limit;
    /// Rank at the engine; only hosts set it.
    std::string priority;
    /// How an API key is announced, e.g. Bearer.
    std::string key_scheme;
    /// Where the balancer asks whether this host is ready.
    std::string readiness_path;
    /// Headers that callers must not set for upstreams, in lower case.
    std::vector<std::string> host_only;
};

} // namespace caperjunction::proxy

#endif
