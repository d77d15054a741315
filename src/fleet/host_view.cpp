#include "fleet/host_view.hpp"

#include <algorithm>

namespace caperjunction::fleet {

viewed_host const* host_view::find(std::string_view name) const
{
    auto const position =
        std::lower_bound(hosts.begin(),
                         hosts.end(),
                         name,
                         [](viewed_host const& entry, std::string_view wanted) {
                             return entry.host.name < wanted;
                         });
    bool const found = position != hosts.end() && position->host.name == name;
    return found ? &*position : nullptr;
}

std::vector<std::string> host_view::live(std::string_view region) const
{
    std::vector<std::string> names;
    for (viewed_host const& entry : hosts) {
        bool const gets_work = entry.state == host_state::alive
                               || entry.state == host_state::suspect;
        if (gets_work && (region.empty() || entry.host.region == region)) {
            names.push_back(entry.host.name);
        }
    }
    return names;
}

} // namespace caperjunction::fleet
