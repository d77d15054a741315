#include "routing/software_history.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// Longer than any stream may be taken up.
constexpr model::milliseconds max_age{3'600'000};

/// Several times the interval between two observations. A host that lets it
/// pass was suspended, or lacked processor time.
constexpr model::milliseconds max_gap{2'000};

} // namespace

void software_history::observe(upstream_directory const& directory,
                               model::time_point now)
{
    if (now - m_observed_at > max_gap) {
        reset();
    }
    m_observed_at = now;
    directory.each([&](upstream_state const& state) {
        auto const found = m_services.try_emplace(state.software.service).first;
        service_history& history = found->second;
        if (history.last_seen.empty()) {
            history.first_seen = now;
        }
        history.last_seen[state.software] = now;
    });
    for (auto& [service, history] : m_services) {
        std::erase_if(history.last_seen, [now](auto const& item) {
            return now - item.second > max_age;
        });
    }
}

served_software software_history::served(std::uint64_t service,
                                         model::milliseconds window,
                                         model::time_point now) const
{
    auto const found = m_services.find(service);
    if (found == m_services.end()) {
        return served_software::unknown;
    }
    auto const& seen = found->second.last_seen;
    auto const recent =
        std::count_if(seen.begin(), seen.end(), [&](auto const& item) {
            return now - item.second <= window;
        });
    if (recent > 1) {
        return served_software::several;
    }
    bool const is_long_enough = now - found->second.first_seen >= window;
    return recent == 1 && is_long_enough ? served_software::one
                                         : served_software::unknown;
}

std::optional<software> software_history::newest(std::uint64_t service) const
{
    auto const found = m_services.find(service);
    if (found == m_services.end() || found->second.last_seen.empty()) {
        return std::nullopt;
    }
    auto const& seen = found->second.last_seen;
    return std::max_element(seen.begin(),
                            seen.end(),
                            [](auto const& a, auto const& b) {
                                return a.second < b.second;
                            })
        ->first;
}

} // namespace caperjunction::routing
