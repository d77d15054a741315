#ifndef CAPERJUNCTION_DECIDE_EVENT_HPP
#define CAPERJUNCTION_DECIDE_EVENT_HPP

#include "decide/request.hpp"
#include "lists/catalogue.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"
#include "model/upstream_list.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::decide {

/// A new, validated pair of lists takes effect.
struct lists_changed
{
    std::shared_ptr<lists::catalogue const> catalogue;
};

/// The platform's list of upstreams changed.
struct upstreams_changed
{
    model::upstream_list upstreams;
};

struct request_arrived
{
    decide::request request;
};

/// The caller disconnected; it gets no further answer.
struct request_cancelled
{
    model::request_id id;
};

/// Tokens of a running attempt relayed since the previous such event. The first
/// event of an attempt marks its first token.
struct tokens_relayed
{
    model::request_id id;
    std::uint32_t tokens = 0;
};

/// How one attempt at an upstream ended.
enum class attempt_end : std::uint8_t
{
    /// The complete answer was relayed.
    complete,
    /// The upstream refused the request before running it.
    refused,
    /// No connection could be made; no byte was sent.
    unreachable,
    /// The connection broke or timed out after bytes had been sent.
    broken,
    /// The upstream answered with an error caused by the request.
    failed,
    /// Ended by this host's own cancellation.
    cancelled,
};

struct attempt_ended
{
    model::request_id id;
    std::string upstream;
    attempt_end end = attempt_end::complete;
    /// Output tokens relayed to the caller so far, over all attempts.
    std::uint32_t relayed_tokens = 0;
    /// Prompt tokens that the engine reports as found in its cache.
    std::uint32_t cached_tokens = 0;
    /// How long the upstream that refused it wants no requests; 0: it didn't
    /// say.
    model::milliseconds retry_after{0};
};

/// An engine's own, delayed view of its load.
struct engine_report
{
    std::string engine;
    /// Measurement time on this host's clock.
    model::time_point measured_at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Fraction of KV memory in use, 0..1.
    double kv_used = 0.0;
    std::vector<std::string> models;
};

/// Blocks added to or evicted from an engine's prefix cache. A gap in the
/// sequence numbers lowers the confidence in what is known of that cache.
struct cache_changed
{
    std::string engine;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// An engine's process is gone: connections are refused, or several attempts
/// broke at once. All attempts in flight there end as `broken`.
struct engine_lost
{
    std::string engine;
};

/// The latest digest of another host. `bytes` come from `router::digest` on
/// that host and are opaque to all layers in between.
struct digest_received
{
    std::string host;
    std::vector<std::uint8_t> bytes;
};

/// Another host is gone or leaving; its digest is no longer valid.
struct host_lost
{
    std::string host;
};

/// Another host refused a request that this host had handed over.
struct hand_over_refused
{
    model::request_id id;
    std::string host;
};

/// Time has passed; sent at least every `router::tick_period`.
struct tick
{
};

/// All inputs of the decision logic.
using event = std::variant<lists_changed,
                           upstreams_changed,
                           request_arrived,
                           request_cancelled,
                           tokens_relayed,
                           attempt_ended,
                           engine_report,
                           cache_changed,
                           engine_lost,
                           digest_received,
                           host_lost,
                           hand_over_refused,
                           tick>;

} // namespace caperjunction::decide

#endif
