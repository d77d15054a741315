#ifndef CAPERJUNCTION_BENCH_SEND_HPP
#define CAPERJUNCTION_BENCH_SEND_HPP

#include "bench/policy_bench/planned_request.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// Progress of a send.
enum class send_state : std::uint8_t
{
    waiting,
    running,
    /// In transit to another host.
    moving,
    done,
};

/// How a send ended for the caller.
enum class send_end : std::uint8_t
{
    none,
    ran,
    refused,
    /// Error with unknown outcome.
    failed,
    hung_up,
};

/// One request sent to the fleet by a caller; a retry is a separate send.
struct send
{
    model::request_id id;
    planned_request const* plan = nullptr;
    std::size_t caller = 0;
    std::uint32_t number = 1;
    model::time_point at{};
    std::size_t entry_host = 0;
    std::size_t serving_host = 0;
    send_state state = send_state::waiting;
    send_end end = send_end::none;
    /// Number of the running attempt, counted over the complete run from 1; 0
    /// if there is none.
    std::uint64_t attempt = 0;
    std::uint32_t attempts = 0;
    /// Number of upstreams that accepted it and did not refuse it later.
    std::uint32_t accepted = 0;
    /// Tokens relayed to the caller; those relayed until the end of new
    /// requests; and of these, those after `scenario::settled`.
    std::uint32_t relayed = 0;
    std::uint32_t relayed_in_window = 0;
    std::uint32_t relayed_settled = 0;
    /// Times of the first and last token, or of a service's answer.
    model::time_point first_token{};
    model::time_point last_token{};
    model::time_point ended{};

    bool has_answer() const
    {
        return first_token != model::time_point{};
    }
};

} // namespace caperjunction::bench

#endif
