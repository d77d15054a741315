#ifndef CAPERJUNCTION_PROXY_EXCHANGE_REPORT_HPP
#define CAPERJUNCTION_PROXY_EXCHANGE_REPORT_HPP

#include "model/time.hpp"
#include "routing/upstream_performance.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// How one request ended, for the log and the metrics.
struct exchange_report
{
    std::string_view id;
    std::string_view route;
    std::string_view service;
    std::string_view team;
    /// The upstream of the last try.
    std::string_view upstream;
    /// What the caller was told; 0: nothing.
    int status = 0;
    /// served, refused, failed, cut (the answer broke off) or left (the
    /// caller did).
    std::string_view outcome;
    /// The refusal's reason, if there is one.
    std::string_view reason;
    /// Who ended the caller's connection before its answer was whole, a name
    /// of `stream_end`; empty if the answer went out or the upstream broke it
    /// off.
    std::string_view ended_by;
    /// Bytes of the answer that this host still held at the end.
    std::size_t unsent_bytes = 0;
    /// From the signal to stop to the request; negative: there was none.
    model::milliseconds since_stop{-1};
    /// How the last try that gave no answer ended; empty if none did.
    std::string_view last_attempt;
    /// Second sends that this host may still make to the service.
    double budget_left = 0.0;
    /// Upstreams that were handed it.
    std::uint32_t sent = 0;
    std::uint32_t unreached = 0;
    /// Upstreams that took no more, by their own word.
    std::size_t limited = 0;
    /// Of the last pick.
    model::milliseconds forecast{0};
    std::uint32_t cold_tokens = 0;
    std::uint32_t running = 0;
    std::uint64_t unread_tokens = 0;
    routing::upstream_performance pace;
    std::size_t lane = 0;
    std::size_t candidates = 0;
    /// From arrival; negative: it didn't come to that.
    model::milliseconds first_byte{-1};
    /// From the last send; negative: none came.
    model::milliseconds upstream_wait{-1};
    model::milliseconds total{0};
    std::uint64_t events = 0;
    /// Between two events, over all tries.
    model::milliseconds longest_gap{0};
    std::uint64_t config_version = 0;
    /// How long ago the store confirmed it.
    model::milliseconds config_age{0};
    /// Served within the route's targets for the first byte and for pauses.
    bool on_time = false;
};

} // namespace caperjunction::proxy

#endif
