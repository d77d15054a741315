#ifndef CAPERJUNCTION_BENCH_SEND_HPP
#define CAPERJUNCTION_BENCH_SEND_HPP

#include "bench/policy_bench/planned_request.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// Where one send of a request stands.
enum class send_state : std::uint8_t
{
    waiting,
    running,
    /// On its way to another host.
    moving,
    done,
};

/// How a send ended for its caller.
enum class send_end : std::uint8_t
{
    none,
    ran,
    refused,
    /// An error, not known whether it ran.
    failed,
    hung_up,
};

/// One request as a caller sent it to the fleet; a resend is another one.
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
    /// Number of the attempt that runs; counted over the whole run, from 1.
    std::uint64_t attempt = 0;
    std::uint32_t attempts = 0;
    /// Upstreams that accepted it and did not refuse it afterwards.
    std::uint32_t accepted = 0;
    /// Tokens that its caller has; those it had when arrivals ended; and of
    /// these, those that came after the fleet had settled.
    std::uint32_t relayed = 0;
    std::uint32_t relayed_in_window = 0;
    std::uint32_t relayed_settled = 0;
    /// Of its first and last token, or of a service's answer.
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
