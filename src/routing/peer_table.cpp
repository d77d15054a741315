#include "routing/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Three digests and more at the pace of the largest data centres, and three
/// between data centres.
constexpr model::milliseconds silence{3'500};
/// Silent for so long, a host that isn't a seed is taken for replaced.
constexpr model::milliseconds gone_after{30'000};
/// Hosts that are known at once; a stranger can't fill the memory.
constexpr std::size_t most_peers = 1'024;

/// Two or three may be lost at once, or be cut from the store, before the
/// others notice by the age of what they hear.
constexpr std::size_t readers = 5;
/// Hosts of a data centre that exchange beliefs with others.
constexpr std::size_t relays_of_centre = 2;

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
        if (peer* const known = learn(seed)) {
            known->is_seed = true;
        }
    }
}

peer_table::peer* peer_table::learn(model::endpoint const& address)
{
    if (address == m_own) {
        return nullptr;
    }
    auto const found = m_peers.find(address);
    if (found != m_peers.end()) {
        return &found->second;
    }
    return m_peers.size() < most_peers ? &m_peers[address] : nullptr;
}

void peer_table::learn(neighbour const& other, model::time_point now)
{
    peer* const known = learn(other.at);
    if (known == nullptr) {
        return;
    }
    known->learnt_at = now;
    if (!known->is_heard) {
        known->told.data_centre = other.data_centre;
        known->told.relays = other.relays;
        known->is_placed = true;
    }
}

void peer_table::hear(model::endpoint const& from,
                      peer_digest const& told,
                      model::time_point now)
{
    peer* const sender = learn(from);
    if (sender == nullptr) {
        return;
    }
    // Another generation is another process, whichever number is higher: the
    // time of day may have jumped back between the two starts.
    bool const is_old = sender->is_heard
                        && told.generation == sender->told.generation
                        && told.sequence <= sender->told.sequence;
    if (is_old) {
        return;
    }
    m_now = std::max(m_now, now);
    bool const is_news = !sender->is_heard
                         || told.hosts_here != sender->told.hosts_here
                         || told.hosts_alive != sender->told.hosts_alive
                         || told.data_centre != sender->told.data_centre;
    sender->told = told;
    sender->is_heard = true;
    sender->is_placed = true;
    sender->heard_at = now;
    sender->wants_answer = told.asks;
    for (neighbour const& other : told.neighbours) {
        learn(other, now);
    }
    if (is_news) {
        recount();
    }
    m_most_seen = std::max(
        m_most_seen,
        std::size_t{std::min<std::uint32_t>(told.hosts_seen, most_peers)});
}

void peer_table::forget_silent(model::time_point now)
{
    m_now = std::max(m_now, now);
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        peer& known = item->second;
        if (known.is_heard && now - known.heard_at > silence) {
            known.is_heard = false;
        }
        auto const last = std::max(known.heard_at, known.learnt_at);
        bool const is_gone = !known.is_seed && now - last > gone_after;
        item = is_gone ? m_peers.erase(item) : std::next(item);
    }
    recount();
}

void peer_table::recount()
{
    struct centre
    {
        std::size_t heard = 0;
        std::size_t told = 0;
    };

    std::unordered_map<std::uint64_t, centre> others;
    peer_digest const* relay = nullptr;
    m_here = 0;
    m_rank_here = 0;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_heard) {
            continue;
        }
        if (is_here(known)) {
            ++m_here;
            m_rank_here += ranks_before(address, m_own) ? 1 : 0;
            bool const says_more =
                known.told.relays
                && (relay == nullptr
                    || relay->hosts_alive < known.told.hosts_alive);
            relay = says_more ? &known.told : relay;
            continue;
        }
        centre& there = others[known.told.data_centre];
        ++there.heard;
        there.told = std::max(there.told,
                              std::size_t{std::min<std::uint32_t>(
                                  known.told.hosts_here, most_peers)});
    }
    m_fleet = 1 + m_here;
    for (auto const& [id, there] : others) {
        m_fleet += std::max(there.heard, there.told);
    }
    m_centres = 1 + others.size();
    // Those that relay count for themselves: a count that they took from each
    // other would never fall.
    if (relay != nullptr && !relays()) {
        m_fleet = std::max(
            m_fleet, std::min(std::size_t{relay->hosts_alive}, most_peers));
        m_centres = std::max(m_centres, std::size_t{relay->centres});
    }
    m_most_seen = std::max(m_most_seen, m_fleet);
}

bool peer_table::is_large() const
{
    return alive() >= least_to_share;
}

bool peer_table::is_here(peer const& known) const
{
    return known.is_placed && known.told.data_centre == m_data_centre;
}

bool peer_table::is_near(peer const& known) const
{
    return known.is_heard && (!is_large() || is_here(known));
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
    return is_large() && m_rank_here == 0;
}

bool peer_table::relays() const
{
    return m_rank_here < relays_of_centre;
}

bool peer_table::is_reader() const
{
    std::size_t const readers_here = (readers + m_centres - 1) / m_centres;
    return !is_large() || m_rank_here < readers_here;
}

std::uint64_t peer_table::newest(lane which) const
{
    std::uint64_t newest = 0;
    for (auto const& [address, known] : m_peers) {
        if (known.is_heard) {
            newest = std::max(newest, known.told.known.of(which));
        }
    }
    return newest;
}

peer_table::source peer_table::newer_than(store_revisions const& own,
                                          lane which,
                                          std::uint64_t draw) const
{
    std::vector<source> nearby;
    std::vector<source> far;
    for (auto const& [address, known] : m_peers) {
        bool const knows_more = known.told.known.of(which) > own.of(which);
        if (known.is_heard && knows_more) {
            bool const is_near = is_here(known);
            bool const has_one_list = known.told.known.configuration == 0;
            (is_near ? nearby : far)
                .push_back({&address, is_near, has_one_list});
        }
    }
    std::vector<source> const& from = nearby.empty() ? far : nearby;
    return from.empty() ? source{} : from[draw % from.size()];
}

} // namespace caperjunction::routing
