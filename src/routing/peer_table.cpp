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
/// Hosts that watch the store tell all others this often.
constexpr model::milliseconds reader_period{300};
/// Silent for so long, a host that isn't a seed is taken for replaced.
constexpr model::milliseconds gone_after{30'000};
/// Hosts that are known at once; a stranger can't fill the memory.
constexpr std::size_t most_peers = 1'024;

/// Two or three may be lost at once, or be cut from the store, before the
/// others notice by the age of what they hear.
constexpr std::size_t readers = 5;

} // namespace

peer_table::peer_table(model::endpoint own,
                       std::uint64_t data_centre,
                       std::vector<model::endpoint> const& seeds)
    : m_own(std::move(own))
    , m_data_centre(data_centre)
{
    this->seeds(seeds);
}

void peer_table::seeds(std::vector<model::endpoint> const& seeds)
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
    // Another generation is another process, whichever number is higher: the
    // time of day may have jumped back between the two starts.
    bool const is_old = sender.is_heard
                        && told.generation == sender.told.generation
                        && told.sequence <= sender.told.sequence;
    if (is_old) {
        return;
    }
    if (!sender.is_heard) {
        ++m_alive;
    }
    sender.told = told;
    sender.is_heard = true;
    sender.heard_at = now;

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

            known.is_heard = false;
            --m_alive;
        }
        bool const was_heard = known.heard_at != model::time_point{};
        bool const is_gone = was_heard && now - known.heard_at > gone_after;
        item = is_gone ? m_peers.erase(item) : std::next(item);
    }
}

bool peer_table::is_near(peer const& known) const
{
    return known.is_heard
           && (m_alive < least_to_share
               || known.told.data_centre == m_data_centre);
}

bool peer_table::ranks_before(model::endpoint const& a,
                              model::endpoint const& b) const
{
    auto const rank = [](model::endpoint const& at) {
        return XXH3_64bits_withSeed(
            at.address.data(), at.address.size(), at.port);
    };
    return rank(a) < rank(b);
}

std::size_t peer_table::nearby() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [this](auto const& item) {
            return is_near(item.second);
        }));
}

bool peer_table::speaks() const
{
    return m_alive >= least_to_share
           && std::none_of(
               m_peers.begin(), m_peers.end(), [this](auto const& item) {
                   return is_near(item.second)
                          && ranks_before(item.first, m_own);
               });
}

std::vector<peer_table::listener> peer_table::audience(model::time_point now)
{
    bool const speaks_for_all = speaks();
    auto const far_period = is_reader() ? reader_period : ask_period;
    std::vector<listener> told;
    for (auto& [address, known] : m_peers) {
        listener to{address, share::beliefs};
        bool is_due = now - known.asked_at >= far_period;
        if (is_near(known)) {
            to.what = share::loads;
            is_due = true;
        } else if (known.is_heard && known.told.speaks && speaks_for_all) {
            to.what = share::sums;
            is_due = true;
        }
        if (is_due) {
            known.asked_at = now;
            told.push_back(to);
        }
    }
    return told;
}

namespace {

void add(std::unordered_map<std::uint64_t, upstream_load>& sum,
         std::vector<peer_load> const& loads)
{
    for (peer_load const& item : loads) {
        upstream_load& total = sum[item.upstream];
        total.running += item.load.running;
        total.unread_tokens += item.load.unread_tokens;
    }
}

std::vector<peer_load>
listed(std::unordered_map<std::uint64_t, upstream_load> const& sum)
{
    std::vector<peer_load> list;
    list.reserve(sum.size());
    for (auto const& [upstream, load] : sum) {
        list.push_back({upstream, load});
    }
    return list;
}

} // namespace

std::vector<peer_load> peer_table::sums() const
{
    std::unordered_map<std::uint64_t, upstream_load> sum;
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            add(sum, known.told.loads);
        }
    }
    return listed(sum);
}

std::vector<peer_load> peer_table::beyond() const
{
    // Two of one data centre may both think that they speak for it, while
    // one of them is new: only one is counted.
    std::unordered_map<std::uint64_t, peer const*> speakers;
    for (auto const& [address, known] : m_peers) {
        if (known.is_heard && !is_near(known) && known.told.speaks) {
            speakers.try_emplace(known.told.data_centre, &known);
        }
    }
    std::unordered_map<std::uint64_t, upstream_load> sum;
    for (auto const& [data_centre, known] : speakers) {
        add(sum, known->told.sums);
    }
    return listed(sum);
}

void peer_table::add_up()
{
    m_loads.clear();
    m_crashes.clear();
    peer const* speaker = nullptr;
    model::endpoint const* speaker_at = nullptr;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_heard) {
            continue;
        }
        for (crash_suspect const& item : known.told.suspects) {
            m_crashes[item.fingerprint] += item.crashes;
        }
        if (!is_near(known)) {
            continue;
        }
        add(m_loads, known.told.loads);
        bool const is_better =
            speaker_at == nullptr || ranks_before(address, *speaker_at);
        if (known.told.speaks && is_better) {
            speaker = &known;
            speaker_at = &address;
        }
    }
    if (speaks()) {
        add(m_loads, beyond());
    } else if (speaker != nullptr) {
        add(m_loads, speaker->told.beyond);
    }
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
    auto const before =
        std::count_if(m_peers.begin(), m_peers.end(), [this](auto const& item) {
            return item.second.is_heard && ranks_before(item.first, m_own);
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
