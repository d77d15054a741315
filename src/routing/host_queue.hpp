#ifndef CAPERJUNCTION_ROUTING_HOST_QUEUE_HPP
#define CAPERJUNCTION_ROUTING_HOST_QUEUE_HPP

#include "model/time.hpp"
#include "routing/waiting_request.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// Requests that wait at a host for an engine with room, in the order in which
/// they are tried: by rank, requests within their team's share before excess,
/// by their latest start, by arrival.
///
/// Thread safety: none; owned by one task.
class host_queue
{
public:
    static constexpr std::size_t max_requests = 64;
    static constexpr std::size_t max_body_bytes = 4'000'000;
    static constexpr model::milliseconds round_interval{10};

    using displace_hook = std::function<void(std::uint64_t number)>;
    using attempt_hook =
        std::function<void(waiting_request const&, bool is_blocked)>;

    /// Adds a request and returns its number; nothing if the queue is full.
    /// Less urgent requests make room for it: `displace` is called for each of
    /// them and must remove it.
    std::optional<std::uint64_t> try_add(waiting_request request,
                                         displace_hook const& displace);

    /// Does nothing if the request doesn't wait.
    void remove(std::uint64_t number);

    /// Calls `attempt` for each request in order, with a copy of it. The hook
    /// removes a request that no longer waits, and may remove others.
    /// `is_blocked`: a request before it at the same service still waits, so
    /// that it must not be sent.
    void run_round(attempt_hook const& attempt);

    /// Returns whether a request waits that a new one must not overtake.
    bool has_ahead(std::string_view service,
                   std::uint32_t rank,
                   bool is_excess) const;

    bool has_service(std::string_view service) const;

    bool contains(std::uint64_t number) const;

    /// Returns the earliest latest start; nothing if no request waits.
    std::optional<model::time_point> next_end() const;

    std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    bool has_room(std::size_t requests, std::size_t body_bytes) const;
    bool may_displace_enough(waiting_request const& added) const;

    /// In order.
    std::vector<waiting_request> m_waiting;
    std::size_t m_body_bytes = 0;
    std::uint64_t m_last_number = 0;
};

} // namespace caperjunction::routing

#endif
