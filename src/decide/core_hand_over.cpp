#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

/// Whether a host with this load can accept the tier: for this model it queues
/// lower tiers and has refused neither this tier nor a higher one.
bool has_spare_capacity(digest const& load, std::uint32_t model, index tier)
{
    bool has_lower_tier = false;
    for (queue_load const& item : load.queues) {
        if (item.model_hash != model) {
            continue;
        }
        if (item.tier <= tier && item.refused > 0) {
            return false;
        }
        has_lower_tier =
            has_lower_tier || (item.tier > tier && item.queued > 0);
    }
    return has_lower_tier;
}

/// Whether a host with this load runs requests on an engine of `group`.
bool reaches_engine(digest const& load,
                    model_group const& group,
                    engine_table const& engines)
{
    return std::any_of(
        load.engines.begin(), load.engines.end(), [&](engine_load const& item) {
            index const engine = engines.find_hash(item.engine_hash);
            return item.in_flight > 0
                   && std::find(
                          group.engines.begin(), group.engines.end(), engine)
                          != group.engines.end();
        });
}

} // namespace

bool core::try_hand_over(entry& waiting, std::string const& reason)
{
    // A higher tier must not be refused here while another host queues lower
    // tiers of the same model and refuses none. At most one hop, to prevent
    // loops. Each request starts with a different peer, to spread a burst.
    if (waiting.from_peer || waiting.attempt > 0) {
        return false;
    }
    std::uint32_t const model = name_hash(m_engines.model(waiting.group));
    for (std::size_t offset = 0; offset < m_peers.size(); ++offset) {
        peer const& target =
            m_peers[(waiting.id.value + offset) % m_peers.size()];
        if (target.live
            && has_spare_capacity(target.load, model, waiting.tier)) {
            hand_over_to(target, waiting, reason);
            return true;
        }
    }
    return false;
}

bool core::reaches_any_engine(model_group const& group) const
{
    return std::any_of(
        group.engines.begin(), group.engines.end(), [this](index engine) {
            return m_engines.at(engine).health != engine_health::lost;
        });
}

peer const* core::find_host_that_reaches(entry const& waiting) const
{
    model_group const& group = m_engines.groups()[waiting.group];
    if (reaches_any_engine(group) || waiting.from_peer
        || waiting.was_handed_over || waiting.may_have_run
        || !waiting.repeatable || waiting.suspect) {
        return nullptr;
    }
    for (std::size_t offset = 0; offset < m_peers.size(); ++offset) {
        peer const& target =
            m_peers[(waiting.id.value + offset) % m_peers.size()];
        if (target.live && reaches_engine(target.load, group, m_engines)) {
            return &target;
        }
    }
    return nullptr;
}

bool core::hand_over_unreachable(entry& waiting)
{
    // Engines that this host has lost may still be reached by others. Without
    // this, the request waits here until it is refused.
    peer const* const target = find_host_that_reaches(waiting);
    if (target == nullptr) {
        return false;
    }
    waiting.returns_to_queue = true;
    hand_over_to(*target, waiting, "engines_unreachable");
    return true;
}

void core::hand_over_queued_unreachable(model_group& group)
{
    if (reaches_any_engine(group)) {
        return;
    }
    for (index tier = 0; tier < group.queue.tiers(); ++tier) {
        auto const arrivals = group.queue.queue(tier).arrivals();
        for (entry* const waiting : arrivals) {
            if (find_host_that_reaches(*waiting) != nullptr) {
                dequeue(*waiting);
                hand_over_unreachable(*waiting);
            }
        }
    }
}

void core::hand_over_to(peer const& target,
                        entry& waiting,
                        std::string const& reason)
{
    m_out->emplace_back(hand_over{waiting.id, target.name, reason});
    waiting.phase = phase::handed_over;
    waiting.was_handed_over = true;
    // The entry must outlive a refusal by the other host, where the request
    // waits at most the maximum wait as well.
    waiting.expires = m_now + 2 * m_policy.rules(waiting.class_id).max_wait;
    m_expiries.emplace(waiting.expires, waiting.id);
}

} // namespace caperjunction::decide
