#ifndef CAPERJUNCTION_RUNTIME_LEASE_CLOCK_HPP
#define CAPERJUNCTION_RUNTIME_LEASE_CLOCK_HPP

#include "model/time.hpp"
#include "runtime/clock.hpp"
#include "runtime/clock_source.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace caperjunction::runtime {

/// Callbacks of a lease clock. All may be null.
struct lease_clock_hooks
{
    /// The source can't be read any more. Called before the read returns.
    std::function<void()> on_lost;
    /// The source can be read again. Called before the read returns.
    std::function<void()> on_regained;
    /// The source has advanced less than the steady clock, by this much at one
    /// read. Called for the first time only.
    std::function<void(model::milliseconds)> on_behind;
};

/// Clock for leases. Its time advances at least as much as that of the steady
/// clock, and as that of a source that counts suspended time.
///
/// A lease that rests on a single clock doesn't end while that clock stands
/// still, and the steady clock stands still while the host is suspended. With
/// two clocks, an age is at least what the faster one says. A source that is
/// stepped forward, or ahead for another reason, makes leases end early.
///
/// While the source can't be read, suspended time isn't counted; it is made up
/// for when the source is read again. Leases must not be used in between, see
/// `lease_clock_hooks::on_lost`.
///
/// \pre The steady clock isn't behind while the host runs.
/// Thread safety: none; owned by one task.
class lease_clock
{
public:
    /// Uses the first of `sources` that can be read.
    ///
    /// \throws model::error (unavailable) if there is none.
    lease_clock(clock steady, std::vector<clock_source> const& sources);

    void set_hooks(lease_clock_hooks hooks)
    {
        m_hooks = std::move(hooks);
    }

    model::time_point now();

    /// Returns the name of the source in use.
    std::string_view source() const
    {
        return m_source.name;
    }

    /// Returns by how much the source has fallen behind the steady clock in
    /// total.
    model::seconds total_behind() const
    {
        return m_total_behind;
    }

private:
    using duration = model::time_point::duration;

    /// Difference between source and steady clock up to which the source is
    /// not behind. Far below the margin of a lease.
    static constexpr model::milliseconds tolerance{10};

    void count_lead(duration lead, duration max_lead);
    void set_readable(bool is_readable);

    clock m_steady;
    clock_source m_source;
    lease_clock_hooks m_hooks;
    bool m_is_readable = true;
    /// Lead of the source over the steady clock that is accounted for.
    duration m_lead{0};
    /// Suspended time since the start.
    duration m_suspended{0};
    duration m_total_behind{0};
};

} // namespace caperjunction::runtime

#endif
