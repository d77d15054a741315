#ifndef CAPERJUNCTION_FLEET_AGENT_HPP
#define CAPERJUNCTION_FLEET_AGENT_HPP

#include "fleet/agent_event.hpp"
#include "fleet/agent_output.hpp"
#include "fleet/agent_settings.hpp"
#include "model/time.hpp"

#include <memory>
#include <vector>

namespace caperjunction::fleet {

/// One host's part in the fleet: membership, configuration and the exchange
/// of load digests. It has no input, output, clock or thread of its own.
///
/// Thread safety: none; owned by one task.
class agent
{
public:
    /// The longest time that may pass between two events.
    static constexpr model::milliseconds tick_period{100};

    /// \pre settings.configuration.check is set.
    explicit agent(agent_settings const& settings);
    ~agent();
    agent(agent&&) noexcept;
    agent& operator=(agent&&) noexcept;

    /// Takes one event at time `now` and appends what is to be done to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// The latest view; never null.
    std::shared_ptr<host_view const> view() const;

    /// False before all four values are in force; the host takes no callers.
    bool ready() const;

    /// False between `view_outdated` and `view_refreshed`.
    bool is_view_current() const;

    /// The revisions that are in force here, for status pages.
    value_revisions in_force() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::fleet

#endif
