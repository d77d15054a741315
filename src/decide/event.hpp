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

/// A checked pair of lists is in force from now on.
struct lists_changed
{
    std::shared_ptr<lists::catalogue const> catalogue;
};

/// The platform lists these upstreams from now on.
struct upstreams_changed
{
    model::upstream_list upstreams;
};

struct request_arrived
{
    decide::request request;
};

/// The caller hung up; nothing more is owed to it.
struct request_cancelled
{
    model::request_id id;
};

/// Tokens of a running attempt that have been relayed since the last such
/// event; the first event of an attempt marks its first token.
struct tokens_relayed
{
    model::request_id id;
    std::uint32_t tokens = 0;
};

/// How one attempt at an upstream ended.
enum class attempt_end : std::uint8_t
{
    /// The whole answer was relayed.
    complete,
    /// The upstream said before running it that it won't.
    refused,
    /// No connection could be made: no byte was handed over.
    unreachable,
    /// The connection broke or went silent after bytes were handed over.
    broken,
    /// The upstream answered with an error of the request's own making.
    failed,
    /// Ended on this host's own cancel.
    cancelled,
};

struct attempt_ended
{
    model::request_id id;
    std::string upstream;
    attempt_end end = attempt_end::complete;
    /// Output tokens relayed to the caller so far, over all attempts.
    std::uint32_t relayed_tokens = 0;
    /// Prompt tokens that the engine says it found in its cache.
    std::uint32_t cached_tokens = 0;
};

/// An engine's own view of its load; it lags.
struct engine_report
{
    std::string engine;
    /// When the engine took the figures, on this host's clock.
    model::time_point measured_at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Share of KV memory in use, 0..1.
    double kv_used = 0.0;
    std::vector<std::string> models;
};

/// Blocks that an engine's prefix cache gained or lost. Sequence numbers
/// show gaps; after one, what was known of that engine counts for less.
struct cache_changed
{
    std::string engine;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// An engine's process went away (connection refused, or several attempts
/// broke at once). Everything in flight there has ended as `broken`.
struct engine_lost
{
    std::string engine;
};

/// Another host's load, as its latest digest tells it. `bytes` is made by
/// `router::digest` of that host and opaque to everything in between.
struct digest_received
{
    std::string host;
    std::vector<std::uint8_t> bytes;
};

/// Another host is gone or leaving; its digest counts no more.
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

/// Everything that the decision logic can be told.
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
