#ifndef CAPERJUNCTION_PROXY_WIRE_NAMES_HPP
#define CAPERJUNCTION_PROXY_WIRE_NAMES_HPP

#include <string>
#include <vector>

namespace caperjunction::proxy {

/// Names of the headers that callers and upstreams use.
struct wire_names
{
    /// Id of one attempt of a caller; upstreams repeat it in their answers.
    std::string request_id;
    /// Milliseconds for which the result is still useful to the caller.
    std::string deadline_ms;
    /// ID:TOKENS of each part of the prompt, in order.
    std::string prompt_parts;
    /// Prompt tokens and maximum output tokens.
    std::string token_counts;
    /// Id of the last complete event that the receiver of a stream has.
    std::string last_event_id;
    /// Id of the attempt that brought a caller the first event of the stream
    /// that it takes up.
    std::string resumed_request_id;
    /// Present on an answer that the upstream itself generated.
    std::string seal;
    /// Team that owns the caller's key; set by hosts only.
    std::string team;
    /// The only upstream that may run the request; set by hosts only.
    std::string expected_instance;
    /// Present if the upstream has not run the request.
    std::string not_run;
    /// Requests per second that an overloaded upstream accepts from all hosts
    /// together.
    std::string request_limit;
    /// Rejections per second, of requests of all hosts, above which an upstream
    /// crashes.
    std::string rejection_limit;
    /// 1 on all answers of an upstream that is shutting down.
    std::string leaving;
    /// Rank at the engine; set by hosts only.
    std::string priority;
    /// Authentication scheme of API keys, e.g. Bearer.
    std::string key_scheme;
    /// Path at which the load balancer checks whether this host is ready.
    std::string readiness_path;
    /// Headers that callers must not set for upstreams, in lower case.
    std::vector<std::string> host_only;
};

} // namespace caperjunction::proxy

#endif
