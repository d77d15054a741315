#ifndef CAPERJUNCTION_ROUTING_KEY_LEASE_HPP
#define CAPERJUNCTION_ROUTING_KEY_LEASE_HPP

#include "model/time.hpp"

#include <optional>

namespace caperjunction::routing {

/// Until when what a host believes of keys may be acted on.
///
/// A host that is cut from the store doesn't hear that a key was taken away
/// and would serve it for as long as the cut lasts. Nobody notices but the
/// holder of a leaked key. So a belief carries the time as of which the store
/// has confirmed it, and keyed requests are refused (they may find another
/// host) shortly before it is too old.
///
/// Times are of a clock that counts suspended time (CLOCK_BOOTTIME).
///
/// Thread safety: none; owned by one task.
class key_lease
{
public:
    /// \pre lifetime is above zero.
    explicit key_lease(model::milliseconds lifetime)
        : m_lifetime(lifetime)
    {
    }

    void lifetime(model::milliseconds lifetime)
    {
        m_lifetime = lifetime;
    }

    /// The store answered with all changes up to `as_of`, at the latest.
    void renew(model::time_point as_of)
    {
        if (!m_as_of || *m_as_of < as_of) {
            m_as_of = as_of;
        }
    }

    /// Whether a request that was sent at `now` or earlier may use a key.
    bool is_valid(model::time_point now) const
    {
        return m_as_of && now - *m_as_of < m_lifetime - margin;
    }

    /// Zero time if nothing was ever confirmed.
    model::milliseconds age(model::time_point now) const
    {
        return m_as_of ? std::chrono::duration_cast<model::milliseconds>(
                   now - *m_as_of)
                       : model::milliseconds{0};
    }

    std::optional<model::time_point> as_of() const
    {
        return m_as_of;
    }

private:
    /// For clocks that run at different rates: a thousandth of the usual
    /// lifetime many times over.
    static constexpr model::milliseconds margin{100};

    model::milliseconds m_lifetime;
    std::optional<model::time_point> m_as_of;
};

} // namespace caperjunction::routing

#endif
