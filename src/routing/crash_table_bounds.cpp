#include "routing/crash_table.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace caperjunction::routing {

// Those with the fewest crashes since their last answer, and of these the
// oldest. A part that crashes upstreams is in flight at one more soon.
void crash_table::forget_weakest()
{
    constexpr std::size_t kept = max_parts / 4 * 3;

    struct strength
    {
        std::size_t crashes = 0;
        model::time_point last{};
        shared_part part;

        bool operator<(strength const& other) const
        {
            return std::tie(crashes, last)
                   < std::tie(other.crashes, other.last);
        }
    };

    std::vector<strength> list;
    for (auto const& [part, against] : m_parts) {
        if (!against.is_watched) {
            auto const last = against.sightings.empty()
                                  ? model::time_point{}
                                  : against.sightings.back().at;
            list.push_back({count_unanswered(against), last, part});
        }
    }
    std::size_t const excess =
        std::min(list.size(), m_parts.size() - std::min(m_parts.size(), kept));
    auto const end = list.begin() + static_cast<std::ptrdiff_t>(excess);
    std::nth_element(list.begin(), end, list.end());
    std::for_each(list.begin(), end, [this](strength const& item) {
        m_parts.erase(item.part);
    });
}

void crash_table::forget_before(std::uint64_t start, model::time_point alive_at)
{
    for (auto& [part, against] : m_parts) {
        std::erase_if(against.sightings, [&](sighting const& item) {
            return item.start == start && item.at < alive_at;
        });
    }
}

std::size_t crash_table::count_unanswered(evidence const& against)
{
    return static_cast<std::size_t>(
        std::count_if(against.sightings.begin(),
                      against.sightings.end(),
                      [&against](sighting const& item) {
                          return !is_answered(against, item);
                      }));
}

std::vector<upstream_crash>
crash_table::unanswered(std::size_t max_candidates) const
{
    using entry = std::pair<std::size_t, shared_part>;
    std::vector<entry> order;
    for (auto const& [part, against] : m_parts) {
        order.emplace_back(count_unanswered(against), part);
    }
    std::sort(order.begin(), order.end(), [](entry const& a, entry const& b) {
        return a.first > b.first;
    });
    std::map<std::pair<std::uint64_t, std::uint64_t>, upstream_crash> crashes;
    std::size_t candidates = 0;
    for (auto const& [count, part] : order) {
        evidence const& against = m_parts.at(part);
        for (sighting const& item : against.sightings) {
            if (is_answered(against, item) || candidates >= max_candidates) {
                continue;
            }
            ++candidates;
            upstream_crash& crash = crashes[{item.start, part.service}];
            crash.start = item.start;
            crash.service = part.service;
            crash.version = item.version;
            crash.at = item.at;
            crash.candidates.push_back({part.id,
                                        item.sent_at,
                                        against.is_trusted,
                                        item.has_begun,
                                        part.kind});
        }
    }
    std::vector<upstream_crash> list;
    list.reserve(crashes.size());
    for (auto const& [key, crash] : crashes) {
        list.push_back(crash);
    }
    return list;
}

bool crash_table::is_answered(evidence const& against, sighting const& item)
{
    return std::any_of(against.answers.begin(),
                       against.answers.end(),
                       [&item](last_answer const& answer) {
                           return answer.version == item.version
                                  && answer.began_at >= item.at;
                       });
}

void crash_table::expire(model::time_point now,
                         std::function<bool(shared_part const&)> const& is_kept)
{
    auto const is_old = [this, now](model::time_point at) {
        return now - at > m_limits.retention;
    };
    for (auto& [part, against] : m_parts) {
        std::erase_if(against.sightings, [&](sighting const& item) {
            return is_old(item.at);
        });
    }
    std::erase_if(m_parts, [&](auto const& item) {
        return item.second.sightings.empty() && !is_kept(item.first);
    });
    while (!m_order.empty() && is_old(m_crashes.at(m_order.front()).at)) {
        m_crashes.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace caperjunction::routing
