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

/// Where a request stands.
enum class phase : std::uint8_t
{
    queued,
    running,
    /// Between attempts, while one event is handled.
    ended,
    handed_over,
};

/// One request from its arrival to its final decision. Names are numbers, so
/// that a queue of 100,000 stays within the memory that a host has for it.
struct entry
{
    model::request_id id;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> prefix_blocks;
    model::time_point arrived{};
    /// Arrival and the class's target for the first token.
    model::time_point deadline{};
    /// When it is refused if it still waits.
    model::time_point expires{};
    model::time_point queued_at{};
    model::time_point dispatched{};
    model::time_point first_token{};
    model::time_point last_token{};
    /// Place in its tier's order of arrival, while queued.
    std::list<entry*>::iterator arrival_position{};
    index class_id = 0;
    index tier = 0;
    index team = 0;
    /// Number of its model, or of its service.
    index group = 0;
    index upstream = no_index;
    /// An upstream that failed it; not tried again at once.
    index avoided_upstream = no_index;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::uint32_t expected_output = 0;
    std::uint32_t relayed_tokens = 0;
    /// Tokens of this attempt alone.
    std::uint32_t attempt_tokens = 0;
    std::uint32_t attempt = 0;
    /// Attempts that broke after bytes were handed over.
    std::uint32_t broken_attempts = 0;
    /// Tokens counted against its team's limits.
    double charged_tokens = 0.0;
    /// Uncached prompt tokens it adds to its engine until the first token.
    double pending_prefill_tokens = 0.0;
    decide::phase phase = phase::queued;
    bool is_service = false;
    bool repeatable = true;
    /// Came from another host; it is not handed over again.
    bool from_peer = false;
    /// A byte of it may have reached an upstream that did not refuse it.
    bool may_have_run = false;
    /// In flight at a crash; runs apart from other suspects.
    bool suspect = false;
    /// For an engine that was lost under it; its own end is still to come.
    crash_evidence evidence = crash_evidence::none;
    /// Goes ahead of higher tiers by its tier's guaranteed share.
    bool below_share = false;
    /// Counted against its team's limits.
    bool counts_in_limits = false;
    /// Its answer is longer than was expected when it came.
    bool overran = false;
};

} // namespace caperjunction::decide

#endif
