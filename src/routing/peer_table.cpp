#include "routing/peer_table.hpp"

#include "routing/carried_readings.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Longer than three digest periods, both in the largest data centres and
/// between data centres.
constexpr model::milliseconds silence_limit{3'500};
/// After this time a silent host that is not a seed is considered replaced.
constexpr model::milliseconds forget_after{30'000};
/// Limits the memory that unknown senders can use.
constexpr std::size_t max_peers = 1'024;

/// Two or three watchers may fail or lose the store at once before the other
/// hosts notice by the age of what they receive.
constexpr std::size_t store_watchers = 5;
/// Hosts of a data centre that exchange state with other data centres.
constexpr std::size_t gateways_per_data_centre = 2;

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
        if (peer* const known = find_or_add(seed)) {
            known->is_seed = true;
        }
    }
}

peer_table::peer* peer_table::find_or_add(model::endpoint const& address)
{
    if (address == m_own) {
        return nullptr;
    }
    auto const found = m_peers.find(address);
    if (found != m_peers.end()) {
        return &found->second;
    }
    return m_peers.size() < max_peers ? &m_peers[address] : nullptr;
}

void peer_table::add_neighbour(neighbour const& other, model::time_point now)
{
    peer* const known = find_or_add(other.at);
    if (known == nullptr) {
        return;
    }
    known->learned_at = now;
    if (!known->is_live) {
        known->digest.data_centre = other.data_centre;
        known->digest.is_gateway = other.is_gateway;
        known->has_known_data_centre = true;
    }
}

void peer_table::record_digest(model::endpoint const& from,
                               peer_digest const& digest,
                               model::time_point now)
{
    peer* const sender = find_or_add(from);
    if (sender == nullptr) {
        return;
    }
    // A different generation is a different process, whichever number is
    // higher: the time of day may have moved back between two starts.
    bool const is_outdated = sender->is_live
                             && digest.generation == sender->digest.generation
                             && digest.sequence <= sender->digest.sequence;
    if (is_outdated) {
        return;
    }
    m_now = std::max(m_now, now);
    bool const has_new_counts =
        !sender->is_live
        || digest.hosts_in_data_centre != sender->digest.hosts_in_data_centre
        || digest.hosts_alive != sender->digest.hosts_alive
        || digest.data_centre != sender->digest.data_centre;
    peer_digest received = digest;
    if (sender->is_live && digest.generation == sender->digest.generation) {
        carry_readings(sender->digest, received);
    }
    sender->digest = std::move(received);
    sender->is_live = true;
    sender->has_known_data_centre = true;
    sender->received_at = now;
    sender->reply_requested = digest.requests_reply;
    for (neighbour const& other : digest.neighbours) {
        add_neighbour(other, now);
    }
    if (has_new_counts) {
        recount();
    }
    m_largest_fleet_seen = std::max(
        m_largest_fleet_seen,
        std::size_t{std::min<std::uint32_t>(digest.hosts_seen, max_peers)});
}

void peer_table::forget_silent(model::time_point now)
{
    m_now = std::max(m_now, now);
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        peer& known = item->second;
        if (known.is_live && now - known.received_at > silence_limit) {
            known.is_live = false;
        }
        auto const last = std::max(known.received_at, known.learned_at);
        bool const is_replaced = !known.is_seed && now - last > forget_after;
        item = is_replaced ? m_peers.erase(item) : std::next(item);
    }
    recount();
}

void peer_table::recount()
{
    struct data_centre_hosts
    {
        std::size_t received = 0;
        std::size_t reported = 0;
    };

    std::unordered_map<std::uint64_t, data_centre_hosts> others;
    peer_digest const* gateway = nullptr;
    m_local_peers = 0;
    m_local_rank = 0;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_live) {
            continue;
        }
        if (is_in_data_centre(known)) {
            ++m_local_peers;
            m_local_rank += ranks_before(address, m_own) ? 1 : 0;
            bool const has_larger_count =
                known.digest.is_gateway
                && (gateway == nullptr
                    || gateway->hosts_alive < known.digest.hosts_alive);
            gateway = has_larger_count ? &known.digest : gateway;
            continue;
        }
        data_centre_hosts& count = others[known.digest.data_centre];
        ++count.received;
        count.reported =
            std::max(count.reported,
                     std::size_t{std::min<std::uint32_t>(
                         known.digest.hosts_in_data_centre, max_peers)});
    }
    m_fleet_size = 1 + m_local_peers;
    for (auto const& [id, count] : others) {
        m_fleet_size += std::max(count.received, count.reported);
    }
    m_data_centre_count = 1 + others.size();
    // Gateways use their own count. If they took it from each other, it would
    // never decrease.
    if (gateway != nullptr && !is_gateway()) {
        m_fleet_size =
            std::max(m_fleet_size,
                     std::min(std::size_t{gateway->hosts_alive}, max_peers));
        m_data_centre_count =
            std::max(m_data_centre_count, std::size_t{gateway->data_centres});
    }
    m_largest_fleet_seen = std::max(m_largest_fleet_seen, m_fleet_size);
}

bool peer_table::is_large() const
{
    return alive() >= min_peers_of_large_fleet;
}

bool peer_table::has_been_large() const
{
    return m_largest_fleet_seen > min_peers_of_large_fleet;
}

bool peer_table::is_in_data_centre(peer const& known) const
{
    return known.has_known_data_centre
           && known.digest.data_centre == m_data_centre;
}

bool peer_table::is_near(peer const& known) const
{
    return known.is_live && (!is_large() || is_in_data_centre(known));
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

std::size_t peer_table::near_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [this](auto const& item) {
            return is_near(item.second);
        }));
}

bool peer_table::is_aggregator() const
{
    return is_large() && m_local_rank == 0;
}

bool peer_table::is_gateway() const
{
    return m_local_rank < gateways_per_data_centre;
}

bool peer_table::is_store_watcher() const
{
    std::size_t const watchers_per_data_centre =
        (store_watchers + m_data_centre_count - 1) / m_data_centre_count;
    return !is_large() || m_local_rank < watchers_per_data_centre;
}

store_position peer_table::newest_upstreams() const
{
    store_position newest;
    for (auto const& [address, known] : m_peers) {
        if (known.is_live) {
            newest = std::max(newest, known.digest.revisions.upstreams);
        }
    }
    return newest;
}

std::uint64_t peer_table::newest_configuration() const
{
    std::uint64_t newest = 0;
    for (auto const& [address, known] : m_peers) {
        if (known.is_live) {
            newest = std::max(newest, known.digest.revisions.configuration);
        }
    }
    return newest;
}

peer_table::source peer_table::newer_than(store_revisions const& own,
                                          list_kind which,
                                          std::uint64_t random_value) const
{
    std::vector<source> near;
    std::vector<source> remote;
    for (auto const& [address, known] : m_peers) {
        store_revisions const& theirs = known.digest.revisions;
        if (known.is_live && theirs.has_newer(which, own)) {
            bool const is_near = is_in_data_centre(known);
            bool const has_version = theirs.configuration != 0;
            bool const sends_combined_list =
                !has_version && theirs.configuration_revision == 0;
            (is_near ? near : remote)
                .push_back(
                    {&address, is_near, sends_combined_list, has_version});
        }
    }
    std::vector<source> const& from = near.empty() ? remote : near;
    return from.empty() ? source{} : from[random_value % from.size()];
}

} // namespace caperjunction::routing
