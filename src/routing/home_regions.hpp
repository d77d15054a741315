#ifndef CAPERJUNCTION_ROUTING_HOME_REGIONS_HPP
#define CAPERJUNCTION_ROUTING_HOME_REGIONS_HPP

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// Regions that may serve a request: those that its route and its team both
/// allow. A default-constructed object allows all.
///
/// Thread safety: as any value.
class home_regions
{
public:
    /// Allows only regions that are in `names` too; an empty list allows all.
    void restrict_to(std::vector<std::string> const& names)
    {
        if (names.empty()) {
            return;
        }
        if (!m_names) {
            m_names = names;
            return;
        }
        std::erase_if(*m_names, [&names](std::string const& name) {
            return std::find(names.begin(), names.end(), name) == names.end();
        });
    }

    bool allows(std::string const& region) const
    {
        return !m_names
               || std::find(m_names->begin(), m_names->end(), region)
                      != m_names->end();
    }

private:
    /// No value: all regions.
    std::optional<std::vector<std::string>> m_names;
};

} // namespace caperjunction::routing

#endif
