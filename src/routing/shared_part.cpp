#include "routing/shared_part.hpp"

#include <algorithm>

namespace caperjunction::routing {

std::vector<shared_part> shared_parts_of(prompt const& from,
                                         std::uint64_t service)
{
    std::vector<shared_part> list;
    for (std::size_t place = 0; place + 1 < from.parts.size(); ++place) {
        if (from.parts[place].id != 0) {
            list.push_back({service, from.parts[place].id});
        }
    }
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
    return list;
}

} // namespace caperjunction::routing
