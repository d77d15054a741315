#ifndef CAPERJUNCTION_PROXY_EXCHANGE_REPORT_HPP
#define CAPERJUNCTION_PROXY_EXCHANGE_REPORT_HPP

#include "model/time.hpp"
#include "routing/request_share.hpp"
#include "routing/shared_part.hpp"
#include "routing/upstream_performance.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// How one request ended. For the log and the metrics.
struct exchange_report
{
    std::string_view id;
    std::string_view route;
    std::string_view service;
    std::string_view team;
    /// Upstream of the last attempt.
    std::string_view upstream;
    /// Host through which the last attempt went; empty: directly.
    std::string_view through;
    /// Status code sent to the caller; 0 if no answer was sent.
    int status = 0;
    /// served, refused, failed, cut (the answer broke off) or left (the caller
    /// disconnected).
    std::string_view outcome;
    /// Reason of the refusal; empty if the request was not refused.
    std::string_view reason;
    /// Parts of it because of which it was refused.
    std::vector<routing::shared_part> refused_parts;
    /// Who ended the caller's connection before its answer was complete, as a
    /// name of `connection_end`. Empty if the answer was sent or the upstream
    /// broke it off.
    std::string_view ended_by;
    /// Bytes of the answer that this host had not sent at the end.
    std::size_t unsent_bytes = 0;
    /// Time from the stop signal to the request; negative if there was no
    /// signal.
    model::milliseconds since_stop{-1};
    /// Result of the last attempt that gave no answer; empty if every attempt
    /// gave one.
    std::string_view last_attempt;
    /// It was withdrawn from an engine that had not begun to answer.
    bool is_withdrawn = false;
    /// Why an overdue request stayed at its engine, at the last decision; empty
    /// if there was none.
    std::string_view not_withdrawn;
    /// Time since the send of the last attempt; zero if there was none.
    model::milliseconds since_sent{0};
    /// Retries that this host may still make for the service.
    double budget_left = 0.0;
    /// Upstreams that received the request.
    std::uint32_t sent = 0;
    std::uint32_t unreached = 0;
    /// Upstreams that accepted no more requests because of a limit that they
    /// had stated themselves.
    std::size_t limited = 0;
    /// Values of the last pick.
    model::milliseconds forecast{0};
    std::uint32_t uncached_tokens = 0;
    std::uint32_t running = 0;
    std::uint64_t pending_prefill_tokens = 0;
    routing::upstream_performance performance;
    double tokens_per_ms = 0.0;
    model::milliseconds event_gap_forecast{0};
    /// As in `routing::pick`.
    double more_urgent_share = 0.0;
    double tokens_ahead = -1.0;
    std::size_t reserved_engines = 0;
    std::size_t candidates = 0;
    /// As of the first placement.
    routing::request_share share;
    /// Prompt tokens that count as demand of the team.
    std::uint32_t asked_tokens = 0;
    /// It was sent to an upstream.
    bool is_admitted = false;
    /// Time from arrival to the first byte; negative if there was none.
    model::milliseconds first_byte{-1};
    /// Time in the queue of this host; negative if it didn't wait there.
    model::milliseconds host_wait{-1};
    /// Time from the last send to the first byte; negative if there was none.
    model::milliseconds upstream_wait{-1};
    model::milliseconds total{0};
    std::uint64_t events = 0;
    /// Whether the caller takes a stream up, and the attempt that began it;
    /// empty if the caller doesn't name it.
    bool takes_up = false;
    std::string_view resumed_id;
    /// Attempts that went on after the first event within this answer.
    std::uint32_t resumed = 0;
    /// Software version of the upstream that began the stream in this answer,
    /// and of the last attempt's; empty if there was none.
    std::string_view first_version;
    std::string_view last_version;
    /// How the last attempt's answer was delimited, as a name of
    /// `body_framing`; empty if there was none.
    std::string_view framing;
    /// Bytes of a stream's last event, if it was incomplete.
    std::size_t partial_event_bytes = 0;
    /// Longest time between two events, over all attempts.
    model::milliseconds longest_gap{0};
    std::uint64_t config_version = 0;
    /// Time since the store last confirmed the configuration.
    model::milliseconds config_age{0};
    /// Whether the request was served within the route's targets for the first
    /// byte and for gaps between events.
    bool on_time = false;
};

} // namespace caperjunction::proxy

#endif
