#ifndef CAPERJUNCTION_DECIDE_ENTRY_HPP
#define CAPERJUNCTION_DECIDE_ENTRY_HPP

#include "decide/crash_evidence.hpp"
#include "decide/indices.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <list>
#include <vector>

namespace caperjunction::decide {

/// Stage of a request.
enum class phase : std::uint8_t
{
    queued,
    running,
    /// Between two attempts, during the handling of one event.
    ended,
    handed_over,
};

/// One request from arrival to final decision. Names are stored as numbers, so
/// that a queue of 100,000 requests fits in the host's memory.
struct entry
{
    model::request_id id;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> prefix_blocks;
    model::time_point arrived{};
    /// Arrival time plus the class's first-token target.
    model::time_point deadline{};
    /// Time at which the request is refused if it is still queued.
    model::time_point expires{};
    model::time_point queued_at{};
    model::time_point dispatched{};
    model::time_point first_token{};
    model::time_point last_token{};
    /// Position in the tier's arrival order, while queued.
    std::list<entry*>::iterator arrival_position{};
    index class_id = 0;
    index tier = 0;
    index team = 0;
    /// Index of its model group, or of its service.
    index group = 0;
    index upstream = no_index;
    /// Software that generated the tokens that the caller has; `no_index`: it
    /// has none.
    index software = no_index;
    /// Upstream of the failed attempt; the next attempt avoids it.
    index avoided_upstream = no_index;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::uint32_t expected_output = 0;
    std::uint32_t relayed = 0;
    /// Tokens relayed in the current attempt.
    std::uint32_t attempt_tokens = 0;
    std::uint32_t attempt = 0;
    /// Attempts that broke after bytes had been sent.
    std::uint32_t broken_attempts = 0;
    /// Tokens charged to the team's limits.
    double charged_tokens = 0.0;
    /// Uncached prompt tokens that the engine computes before the first token.
    double pending_prefill_tokens = 0.0;
    decide::phase phase = phase::queued;
    bool is_service = false;
    bool repeatable = true;
    /// Handed over by another host; not handed over again.
    bool from_peer = false;
    /// Was handed over to another host before.
    bool was_handed_over = false;
    /// Is queued again if the host that it was handed over to refuses it.
    bool returns_to_queue = false;
    /// A byte of it may have reached an upstream that did not refuse it.
    bool may_have_run = false;
    /// Was in flight during a crash; never shares an engine with other
    /// suspects.
    bool suspect = false;
    /// Evidence from the loss of its engine, applied when the attempt ends.
    crash_evidence evidence = crash_evidence::none;
    /// May pass higher tiers because its tier is below its guaranteed share.
    bool below_share = false;
    /// Its current attempt is charged to its team and tier.
    bool is_charged = false;
    /// Counted against its team's limits.
    bool counts_in_limits = false;
    /// The answer exceeded the length predicted on arrival.
    bool overran = false;
};

} // namespace caperjunction::decide

#endif
