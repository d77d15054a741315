#ifndef CAPERJUNCTION_ROUTING_ANSWERED_PARTS_HPP
#define CAPERJUNCTION_ROUTING_ANSWERED_PARTS_HPP

#include "model/time.hpp"
#include "routing/part_evidence.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

namespace caperjunction::routing {

/// The last answer of each part that this host has seen, bounded in number.
///
/// Thread safety: none; owned by one task.
class answered_parts
{
public:
    void record(part_answer const& answer)
    {
        if (m_recent.size() >= max_recent) {
            m_before = std::exchange(m_recent, {});
        }
        m_recent[answer.part] = answer;
    }

    /// Returns the last answer at upstreams of a version; nothing if there is
    /// none, or one of another version since.
    std::optional<part_answer> find(shared_part const& part,
                                    std::uint64_t version) const
    {
        for (answer_map const* const map : {&m_recent, &m_before}) {
            auto const found = map->find(part);
            if (found != map->end() && found->second.version == version) {
                return found->second;
            }
        }
        return std::nullopt;
    }

private:
    using answer_map =
        std::unordered_map<shared_part, part_answer, shared_part_hash>;

    /// Twice as many take about 1.5 MB.
    static constexpr std::size_t max_recent = 8'192;

    answer_map m_recent;
    answer_map m_before;
};

} // namespace caperjunction::routing

#endif
