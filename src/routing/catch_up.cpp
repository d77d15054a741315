#include "routing/catch_up.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// The host's own reader gets a change within milliseconds; a change that
/// another host has had for so long will not come that way.
constexpr model::milliseconds own_reading_lag{500};
/// The one that speaks for a data centre brings a change into it, and the
/// others take it from there; when it doesn't, they go far themselves.
constexpr model::milliseconds speaker_lag{500};
/// A host that starts reads the store itself, in tens of milliseconds where
/// that is near. When the store is away, peers are asked so much later.
constexpr model::milliseconds first_reading_lag{200};
/// What hosts of a data centre give each other together: eight links of 10
/// Mbit/s, the narrowest that are met.
constexpr double spread_bytes_a_second = 8e6;
/// A change waits no longer, however much came before it.
constexpr model::milliseconds longest_rest{800};

} // namespace

bool catch_up::is_due(peer_table::source const& newer,
                      facts const& about,
                      model::time_point now)
{
    if (newer.at == nullptr) {
        m_since.reset();
        return false;
    }
    if (!m_since) {
        m_since = now;
    }
    if (now < m_rests_until || now - *m_since < patience(newer, about)) {
        return false;
    }
    m_since = now;
    return true;
}

model::milliseconds catch_up::patience(peer_table::source const& newer,
                                       facts const& about)
{
    if (!about.has_configuration) {
        return first_reading_lag;
    }
    if (about.is_reader) {
        return own_reading_lag;
    }
    return newer.is_near || about.speaks ? model::milliseconds{0} : speaker_lag;
}

void catch_up::rest(std::size_t bytes,
                    std::size_t nearby,
                    model::time_point now)
{
    double const copies =
        static_cast<double>(bytes) * static_cast<double>(nearby);
    auto const pause = std::chrono::duration_cast<model::milliseconds>(
        model::seconds(copies / spread_bytes_a_second));
    m_rests_until = now + std::min(pause, longest_rest);
}

model::milliseconds
catch_up::lag(std::uint64_t own, std::uint64_t newest, model::time_point now)
{
    if (own >= m_lacked) {
        m_lacked = newest;
        m_lacked_since = now;
    }
    return own >= m_lacked ? model::milliseconds{0}
                           : std::chrono::duration_cast<model::milliseconds>(
                               now - m_lacked_since);
}

} // namespace caperjunction::routing
