#ifndef CAPERJUNCTION_DECIDE_ROUTER_HPP
#define CAPERJUNCTION_DECIDE_ROUTER_HPP

#include "decide/decision.hpp"
#include "decide/event.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// Host-specific settings of the decision logic.
struct router_settings
{
    std::string host;
    std::string region;
    std::string data_centre;
    /// Seed for the sampling of candidates.
    std::uint64_t seed = 1;
    /// This host's share of the link between regions.
    double link_bytes_per_second = 150'000.0;
    /// One-way message delay between regions.
    model::milliseconds link_delay{30};
};

/// The decision logic of one host: admission, queueing, refusal, placement and
/// model shifts. It does no input or output and has no clock or thread of its
/// own, so that a recorded sequence of events always yields the same decisions.
///
/// Thread safety: none; owned by one task.
class router
{
public:
    /// Maximum time between two events.
    static constexpr model::milliseconds tick_period{20};

    explicit router(router_settings settings);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    /// Handles one event at time `now` and appends the decisions to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(event const& input,
                model::time_point now,
                std::vector<decision>& out);

    /// This host's load for its peers, at most a few kilobytes. They pass it to
    /// their own `handle` as `digest_received`.
    std::vector<std::uint8_t> digest(model::time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::decide

#endif
