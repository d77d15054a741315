#ifndef CAPERJUNCTION_ROUTING_KEY_LEASE_HPP
#define CAPERJUNCTION_ROUTING_KEY_LEASE_HPP

#include "model/time.hpp"

#include <optional>

namespace caperjunction::routing {

/// Time limit on the use of API keys known to this host.
///
/// A host without a connection to the store does not learn that a key was
/// revoked and would accept it for the whole outage. The only symptom is
/// continued use of a leaked key. The lease therefore starts at the time as of
/// which the store confirmed the keys. Requests with a key are refused shortly
/// before the lease expires; the caller may find another host.
///
/// Times are on a clock that includes suspended time. While it can't be read,
/// the lease may have expired without this host knowing: no key is used.
///
/// Thread safety: none; owned by one task.
class key_lease
{
public:
    /// \pre lifetime is greater than zero.
    explicit key_lease(model::milliseconds lifetime)
        : m_lifetime(lifetime)
    {
    }

    void lifetime(model::milliseconds lifetime)
    {
        m_lifetime = lifetime;
    }

    /// From now on, confirmations as of an earlier time renew nothing.
    void ignore_before(model::time_point earliest)
    {
        m_earliest = earliest;
    }

    /// Records that this host has all changes that the store had at `as_of`.
    void renew(model::time_point as_of)
    {
        if (as_of < m_earliest) {
            return;
        }
        if (!m_as_of || *m_as_of < as_of) {
            m_as_of = as_of;
        }
    }

    /// The clock can't be read from now on.
    void clock_lost()
    {
        m_has_clock = false;
    }

    void clock_regained()
    {
        m_has_clock = true;
    }

    /// Returns whether a request that was sent at `now` or earlier may use a
    /// key.
    bool is_valid(model::time_point now) const
    {
        return m_has_clock && m_as_of && now - *m_as_of < m_lifetime - margin;
    }

    /// Returns the time since the last confirmation; zero if there was none.
    model::milliseconds age(model::time_point now) const
    {
        return m_as_of ? std::chrono::duration_cast<model::milliseconds>(
                   now - *m_as_of)
                       : model::milliseconds{0};
    }

    /// Returns the last confirmation, if it is known how old it is.
    std::optional<model::time_point> as_of() const
    {
        return m_has_clock ? m_as_of : std::nullopt;
    }

private:
    /// Allowance for clocks that run at different rates. Many times a
    /// thousandth of the default lifetime.
    static constexpr model::milliseconds margin{100};

    model::milliseconds m_lifetime;
    std::optional<model::time_point> m_as_of;
    bool m_has_clock = true;
    model::time_point m_earliest = model::time_point::min();
};

} // namespace caperjunction::routing

#endif
