#ifndef CAPERJUNCTION_ROUTING_ORIGIN_CLAIMS_HPP
#define CAPERJUNCTION_ROUTING_ORIGIN_CLAIMS_HPP

#include "routing/software.hpp"

#include <cstdint>
#include <optional>

namespace caperjunction::routing {

/// How a host knows which software began a stream.
enum class origin_knowledge : std::uint8_t
{
    /// It doesn't.
    none,
    /// It has recorded the stream.
    recorded,
    /// It knows no other software that served while the stream may have begun.
    only_software,
    /// Several versions served, and it hasn't recorded the stream.
    several,
};

/// What a host says of the software that began a stream.
struct origin_claim
{
    origin_knowledge knowledge = origin_knowledge::none;
    /// Set for `recorded` and `only_software`.
    software began_at;

    friend bool operator==(origin_claim const&, origin_claim const&) = default;
};

/// Joins what several hosts say of one stream. Unknown stays unknown: a stream
/// that goes on at a software that was guessed holds events of two versions.
///
/// Thread safety: none; one instance per question.
class origin_claims
{
public:
    void add(origin_claim const& claim)
    {
        if (claim.knowledge == origin_knowledge::recorded) {
            join(m_recorded, m_is_contradictory, claim.began_at);
        } else if (claim.knowledge == origin_knowledge::only_software) {
            join(m_only, m_has_several, claim.began_at);
        } else if (claim.knowledge == origin_knowledge::several) {
            m_has_several = true;
        }
    }

    /// Returns the software that a host has recorded; further claims can't
    /// confirm it.
    std::optional<software> recorded() const
    {
        return m_is_contradictory ? std::nullopt : m_recorded;
    }

    /// Returns the software when no further claim is expected; nothing if it is
    /// unknown.
    std::optional<software> result() const
    {
        if (m_recorded || m_is_contradictory) {
            return recorded();
        }
        return m_has_several ? std::nullopt : m_only;
    }

private:
    static void
    join(std::optional<software>& known, bool& differs, software claimed)
    {
        differs = differs || (known && *known != claimed);
        known = claimed;
    }

    std::optional<software> m_recorded;
    std::optional<software> m_only;
    bool m_is_contradictory = false;
    bool m_has_several = false;
};

} // namespace caperjunction::routing

#endif
