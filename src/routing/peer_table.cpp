#include "routing/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Three digests and more at the pace of the largest fleets.
constexpr model::milliseconds silence{4'000};
/// A silent host is asked this often: it may have started anew.
constexpr model::milliseconds ask_period{1'000};
/// Silent for so long, a host that isn't a seed is taken for replaced.
constexpr model::milliseconds gone_after{30'000};
/// Hosts that are known at once; a stranger can't fill the memory.
constexpr std::size_t most_peers = 1'024;

/// Two or three may be lost at once, or be cut from the store, before the
/// others notice by the age of what they hear.
constexpr std::size_t readers = 5;

} // namespace

peer_table::peer_table(model::endpoint own, std::vector<model::endpoint> seeds)
    : m_own(std::move(own))
{
    this->seeds(std::move(seeds));
}

void peer_table::seeds(std::vector<model::endpoint> seeds)
{
    for (model::endpoint const& seed : seeds) {
        learn(seed);
    }
}

void peer_table::learn(model::endpoint const& address)
{
    if (!(address == m_own) && m_peers.size() < most_peers) {
        m_peers.try_emplace(address);
    }
}

void peer_table::count(peer_digest const& told, int sign)
{
    auto const factor = static_cast<std::uint64_t>(sign);
    for (peer_load const& item : told.loads) {
        upstream_load& sum = m_loads[item.upstream];
        sum.running += static_cast<std::uint32_t>(factor) * item.load.running;
        sum.unread_tokens += factor * item.load.unread_tokens;
    }
    for (crash_suspect const& item : told.suspects) {
        m_crashes[item.fingerprint] +=
            static_cast<std::uint32_t>(factor) * item.crashes;
        if (m_crashes[item.fingerprint] == 0) {
            m_crashes.erase(item.fingerprint);
        }
    }
}

void peer_table::hear(model::endpoint const& from,
                      peer_digest const& told,
                      model::time_point now)
{
    learn(from);
    auto const found = m_peers.find(from);
    if (found == m_peers.end()) {
        return;
    }
    peer& sender = found->second;
    bool const is_old = sender.is_heard
                        && (told.generation < sender.told.generation
                            || (told.generation == sender.told.generation
                                && told.sequence <= sender.told.sequence));
    if (is_old) {
        return;
    }
    if (sender.is_heard) {
        count(sender.told, -1);
    } else {
        ++m_alive;
    }
    sender.told = told;
    sender.is_heard = true;
    sender.heard_at = now;
    count(told, 1);
    for (model::endpoint const& other : told.peers) {
        learn(other);
    }
    m_most_seen = std::max(
        {m_most_seen,
         m_alive + 1,
         std::size_t{std::min<std::uint32_t>(told.hosts_seen, most_peers)}});
}

void peer_table::forget_silent(model::time_point now)
{
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        peer& known = item->second;
        if (known.is_heard && now - known.heard_at > silence) {
            count(known.told, -1);
            known.is_heard = false;
            --m_alive;
        }
        bool const was_heard = known.heard_at != model::time_point{};
        bool const is_gone = was_heard && now - known.heard_at > gone_after;
        item = is_gone ? m_peers.erase(item) : std::next(item);
    }
}

std::vector<model::endpoint> peer_table::audience(model::time_point now)
{
    std::vector<model::endpoint> told;
    for (auto& [address, known] : m_peers) {
        if (known.is_heard || now - known.asked_at >= ask_period) {
            known.asked_at = now;
            told.push_back(address);
        }
    }
    return told;
}

std::vector<model::endpoint> peer_table::heard(std::size_t most) const
{
    std::vector<model::endpoint> list;
    for (auto const& [address, known] : m_peers) {
        if (known.is_heard && list.size() < most) {
            list.push_back(address);
        }
    }
    return list;
}

upstream_load peer_table::load_of(std::uint64_t upstream) const
{
    auto const found = m_loads.find(upstream);
    return found == m_loads.end() ? upstream_load{} : found->second;
}

std::uint32_t peer_table::crashes_of(std::uint64_t fingerprint) const
{
    auto const found = m_crashes.find(fingerprint);
    return found == m_crashes.end() ? 0 : found->second;
}

model::endpoint const* peer_table::newer_than(std::uint64_t revision) const
{
    for (auto const& [address, known] : m_peers) {
        if (known.is_heard && known.told.revision > revision) {
            return &address;
        }
    }
    return nullptr;
}

bool peer_table::is_reader() const
{
    if (m_alive < least_to_share) {
        return true;
    }
    auto const rank = [](model::endpoint const& at) {
        return XXH3_64bits_withSeed(
            at.address.data(), at.address.size(), at.port);
    };
    std::uint64_t const own = rank(m_own);
    auto const before =
        std::count_if(m_peers.begin(), m_peers.end(), [&](auto const& item) {
            return item.second.is_heard && rank(item.first) < own;
        });
    return static_cast<std::size_t>(before) < readers;
}

model::endpoint const* peer_table::any() const
{
    for (auto const& [address, known] : m_peers) {
        if (known.is_heard) {
            return &address;
        }
    }
    return nullptr;
}

} // namespace caperjunction::routing
