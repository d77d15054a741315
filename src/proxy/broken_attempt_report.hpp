#ifndef CAPERJUNCTION_PROXY_BROKEN_ATTEMPT_REPORT_HPP
#define CAPERJUNCTION_PROXY_BROKEN_ATTEMPT_REPORT_HPP

#include "model/time.hpp"
#include "routing/crash_counts.hpp"
#include "routing/prompt.hpp"

#include <cstdint>
#include <string_view>

namespace caperjunction::proxy {

/// An attempt whose upstream broke the connection off. For the log.
struct broken_attempt_report
{
    std::string_view id;
    /// Identifies the request at all hosts, however often it is repeated.
    std::uint64_t request = 0;
    /// Crashes at which it was in flight, as far as this host knew before.
    routing::crash_counts known_crashes;
    std::string_view route;
    std::string_view service;
    std::string_view upstream;
    /// Start of the upstream, as its entry says.
    std::uint64_t upstream_started = 0;
    /// Host through which the attempt went; empty: directly.
    std::string_view through;
    routing::prompt const* prompt = nullptr;
    /// Events of the attempt.
    std::uint64_t events = 0;
    /// Time since the head of the answer was received; negative if there was
    /// none.
    model::milliseconds since_head{-1};
};

} // namespace caperjunction::proxy

#endif
