#ifndef CAPERJUNCTION_ROUTING_POISON_LIMITS_HPP
#define CAPERJUNCTION_ROUTING_POISON_LIMITS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::routing {

/// When a part is suspected and kept from upstreams.
struct poison_limits
{
    /// Crashes, each at a request that was sent after the one before, without
    /// an answer between them: from `trial` on, one request at a time runs;
    /// from `verdict` on, none does.
    std::size_t trial = 1;
    std::size_t verdict = 3;
    /// The same for a part that has been answered before. Requests of such a
    /// part are often in flight beside others that crash their upstreams.
    std::size_t trusted_trial = 4;
    std::size_t trusted_verdict = 5;
    /// The same for a whole request that was never answered: each crash has
    /// many of them in flight, and most are repeated at once.
    std::size_t request_trial = 2;
    /// Where this many upstreams of the service have crashed within
    /// `chance_window` without it, a request has been there by chance more
    /// often: its verdict needs one crash more.
    std::size_t chance_crashes = 4;
    model::milliseconds chance_window{30'000};
    /// Crashes in all from which one less in sequence makes a verdict on a part
    /// of prompts: several may be on their way before the first crash is known.
    std::size_t overlapping = 4;
    /// Crashes of several upstreams within this time may have one cause.
    model::milliseconds outage_time{1'000};
    /// Crashes in sequence that others stand for which overlap them, if those
    /// of a whole request are further apart than `outage_time`: callers send it
    /// to several hosts at the same moment. The second: of one that has been
    /// answered before.
    std::size_t overlap_credit = 1;
    std::size_t trusted_overlap_credit = 2;
    /// Crashes in sequence at one part of a verdict on several by which it
    /// holds for that one alone.
    std::size_t narrowing = 2;
    /// A request that was sent after a crash, and not begun, counts from this
    /// time after it on. Where several upstreams fail together, it may have
    /// been sent to one that was down already.
    model::milliseconds min_between{100};
    /// A trial without a result no longer holds up others after this time.
    model::milliseconds trial_timeout{1'000};
    /// Time after the last crash until a request is sent as a probe. It doubles
    /// with each one that crashes its upstream.
    model::milliseconds probe_delay{600'000};
    /// Evidence is forgotten after this time, and a verdict if no such request
    /// has come for as long.
    model::milliseconds retention{600'000};
};

} // namespace caperjunction::routing

#endif
