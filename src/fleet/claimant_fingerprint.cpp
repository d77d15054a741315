#include "fleet/claim_fingerprint.hpp"
#include "fleet/claimant.hpp"

namespace caperjunction::fleet {

void claimant::fingerprint(model::time_point now, std::string& out) const
{
    append(out, m_generation);
    append(out, m_attempts);
    append(out, m_view == nullptr ? 0 : m_view->revision());
    append(out, m_pause_detector.is_current() ? 1U : 0U);
    for (auto const& [key, call] : m_calls) {
        append(out, key.low);
        append(out, static_cast<std::uint64_t>(call.phase));
        append(out, call.number);
        append_age(out, call.started, now);
        for (auto const& name : call.witnesses) {
            append(out, std::string_view(name));
        }
        for (auto const& [name, reply] : call.replies) {
            append(out, std::string_view(name));
            append(out, static_cast<std::uint64_t>(reply.status));
            append(out, reply.vote ? reply.vote_origin : 0U);
            append(out, reply.holder);
            append(out, static_cast<std::uint64_t>(reply.holder_state));
        }
    }
    for (auto const& [key, finished] : m_finished) {
        append(out, key.low);
        append(out, finished.number);
    }
}

} // namespace caperjunction::fleet
