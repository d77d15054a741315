#ifndef CAPERJUNCTION_FLEET_AGENT_HPP
#define CAPERJUNCTION_FLEET_AGENT_HPP

#include "fleet/agent_event.hpp"
#include "fleet/agent_output.hpp"
#include "fleet/agent_settings.hpp"
#include "model/time.hpp"

#include <memory>
#include <vector>

namespace caperjunction::fleet {

/// One host's membership, configuration and load-digest exchange.
///
/// Sans-I/O state machine: events and the time come in as arguments, messages
/// and decisions go out as values.
///
/// Thread safety: none; owned by one task.
class agent
{
public:
    /// Maximum time between two events.
    static constexpr model::milliseconds tick_period{100};

    /// \pre settings.configuration.check is set.
    explicit agent(agent_settings const& settings);
    ~agent();
    agent(agent&&) noexcept;
    agent& operator=(agent&&) noexcept;

    /// Handles one event at time `now` and appends the outputs to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// Returns the latest view; never null.
    std::shared_ptr<host_view const> view() const;

    /// Returns false until all four values are in force. Until then the host
    /// accepts no callers.
    bool ready() const;

    /// Returns false between `view_outdated` and `view_refreshed`.
    bool is_view_current() const;

    /// Returns the revisions in force on this host, for status pages.
    value_revisions in_force() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::fleet

#endif
