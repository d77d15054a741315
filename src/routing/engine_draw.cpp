#include "routing/engine_draw.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::routing {

std::vector<upstream_ptr> draw_engines(std::vector<upstream_ptr> const& usable,
                                       engine_draw const& by)
{
    using scored_engine = std::pair<std::uint64_t, upstream_ptr>;
    std::vector<scored_engine> reserved;
    std::vector<scored_engine> others;
    std::vector<upstream_ptr> drawn;
    for (upstream_ptr const& item : usable) {
        if (item.get() == by.affinity_engine
            || item.get() == by.overflow_engine) {
            drawn.push_back(item);
            continue;
        }
        auto& group = item->reservation_rank < by.reserved ? reserved : others;
        group.emplace_back(
            rendezvous_score(item->description.id, by.request_hash), item);
    }
    for (auto* const group : {&reserved, &others}) {
        auto const count = std::min(by.count, group->size());
        std::partial_sort(group->begin(),
                          group->begin() + static_cast<std::ptrdiff_t>(count),
                          group->end());
        for (std::size_t index = 0; index < count; ++index) {
            drawn.push_back((*group)[index].second);
        }
    }
    return drawn;
}

} // namespace caperjunction::routing
