#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>
#include <limits>

namespace caperjunction::decide {

namespace {

// Digests come several times a second; a host silent for this long is gone
// or cut off, and what it had can't be relied on either way.
constexpr model::milliseconds digest_valid{3000};
constexpr std::size_t peers_a_tick = 8;
constexpr double prefill_unit = 16.0;

template <typename Small>
Small saturate(std::size_t value)
{
    constexpr std::size_t most = std::numeric_limits<Small>::max();
    return static_cast<Small>(std::min(value, most));
}

void add(std::uint32_t& sum, std::uint32_t amount, int sign)
{
    if (sign > 0) {
        sum += amount;
    } else {
        sum -= std::min(sum, amount);
    }
}

} // namespace

void core::on(digest_received const& happened)
{
    digest load;
    if (happened.host == m_settings.host || !decode(happened.bytes, load)) {
        return;
    }
    index const place = m_peer_names.intern(happened.host);
    if (place == m_peers.size()) {
        m_peers.emplace_back();
        m_peers.back().name = happened.host;
    }
    peer& source = m_peers[place];
    if (source.live) {
        count_elsewhere(source);
    }
    forget_peer(source);
    source.load = std::move(load);
    source.heard = m_now;
    source.live = true;
    count_peer(source, 1);
    add_peer_load(source, 1);
    for (suspect_load const& one : source.load.suspects) {
        m_quarantine.learn(one.fingerprint,
                           one.evidence,
                           std::chrono::seconds(one.seconds),
                           m_now);
    }
    for (engine_load const& one : source.load.engines) {
        index const engine = m_engines.find_hash(one.engine_hash);
        if (engine != no_index) {
            m_engines.refresh(engine, m_now);
        }
    }
}

void core::on(host_lost const& happened)
{
    index const place = m_peer_names.find(happened.host);
    if (place != no_index) {
        forget_peer(m_peers[place]);
    }
}

void core::on(hand_over_refused const& happened)
{
    entry* const returned = find(happened.id);
    if (returned == nullptr || returned->phase != phase::handed_over) {
        return;
    }
    m_expiries.erase({returned->expires, returned->id});
    returned->phase = phase::queued;
    refuse_request(*returned,
                   model::error_kind::refused,
                   expected_wait(*returned),
                   "refused_by_" + happened.host,
                   "send it again after the time in Retry-After");
}

void core::add_peer_load(peer const& source, int sign)
{
    for (engine_load const& one : source.load.engines) {
        index const engine = m_engines.find_hash(one.engine_hash);
        if (engine != no_index) {
            add(m_engines.at(engine).peer_requests, one.in_flight, sign);
            m_engines.at(engine).add_peer_prefill(
                sign * prefill_unit * one.prefill, m_now);
        }
    }
    for (queue_load const& one : source.load.queues) {
        index const group = m_engines.find_model_hash(one.model_hash);
        if (group != no_index && one.tier < m_policy.tiers()) {
            auto& queued = m_engines.groups()[group].peer_queued;
            auto& refused = m_engines.groups()[group].peer_refused;
            queued.resize(std::max<std::size_t>(queued.size(), one.tier + 1));
            refused.resize(queued.size());
            add(queued[one.tier], one.queued, sign);
            add(refused[one.tier], one.refused, sign);
        }
    }
    for (suspect_load const& one : source.load.suspects) {
        index const engine = m_engines.find_hash(one.engine_hash);
        if (engine != no_index && one.engine_hash != 0) {
            add(m_engines.at(engine).peer_suspects, 1, sign);
        }
    }
    for (team_load const& one : source.load.teams) {
        auto const found = m_team_hashes.find(one.team_hash);
        if (found == m_team_hashes.end()) {
            continue;
        }
        rate_limiter& limiter = m_teams[found->second].limiter;
        limiter.peer_requests =
            std::max(0.0,
                     limiter.peer_requests
                         + sign * static_cast<double>(one.requests_per_second));
        limiter.peer_tokens =
            std::max(0.0,
                     limiter.peer_tokens
                         + sign * static_cast<double>(one.tokens_per_second));
        add(limiter.peer_concurrent, one.concurrent, sign);
    }
}

void core::forget_peer(peer& gone)
{
    if (!gone.live) {
        return;
    }
    add_peer_load(gone, -1);
    gone.live = false;
    count_peer(gone, -1);
}

void core::count_elsewhere(peer const& source)
{
    model::seconds const span = m_now - source.heard;
    for (team_load const& one : source.load.teams) {
        auto const found = m_team_hashes.find(one.team_hash);
        if (found != m_team_hashes.end()) {
            m_elsewhere[found->second] +=
                static_cast<double>(one.tokens_per_second) * span.count();
        }
    }
}

void core::count_peer(peer const& source, int sign)
{
    auto const change = static_cast<std::uint32_t>(sign);
    m_position.hosts += change;
    if (source.load.region_hash == name_hash(m_settings.region)) {
        m_position.in_region += change;
        m_position.rank += source.name < m_settings.host ? change : 0U;
    }
}

void core::revisit_peers()
{
    std::size_t const count = std::min(m_peers.size(), peers_a_tick);
    for (std::size_t looked = 0; looked < count; ++looked) {
        m_next_peer = (m_next_peer + 1) % m_peers.size();
        peer& other = m_peers[m_next_peer];
        if (other.live && m_now - other.heard > digest_valid) {
            forget_peer(other);
        }
    }
}

index core::team_index(std::string const& customer,
                       std::string const& team,
                       std::string const& plan)
{
    std::string const name = customer + '/' + team;
    index const place = m_team_names.intern(name);
    if (place == m_teams.size()) {
        m_teams.emplace_back();
        m_elsewhere.push_back(0.0);
        m_teams.back().hash = name_hash(name);
        m_team_hashes.emplace(m_teams.back().hash, place);
    }
    m_teams[place].limits = m_policy.limits(plan);
    return place;
}

std::vector<std::uint8_t> core::digest_bytes(model::time_point now) const
{
    digest load;
    load.region_hash = name_hash(m_settings.region);
    add_queues(load, now);
    for (index place = 0; place < m_engines.size(); ++place) {
        engine_state const& engine = m_engines.at(place);
        if (engine.local() > 0 && load.engines.size() < max_digest_engines) {
            load.engines.push_back(
                {name_hash(engine.name),
                 saturate<std::uint16_t>(engine.local()),
                 saturate<std::uint16_t>(static_cast<std::size_t>(
                     engine.own_prefill() / prefill_unit))});
        }
    }
    for (team_state const& team : m_teams) {
        rate_limiter const& limiter = team.limiter;
        double const tokens = limiter.tokens_per_second(now);
        if ((tokens >= 1.0 || limiter.concurrent() > 0)
            && load.teams.size() < max_digest_teams) {
            load.teams.push_back(
                {team.hash,
                 static_cast<float>(tokens),
                 static_cast<float>(limiter.requests_per_second(now)),
                 saturate<std::uint16_t>(limiter.concurrent())});
        }
    }
    add_suspects(load);
    return encode(load);
}

void core::add_queues(digest& load, model::time_point now) const
{
    for (index place = 0; place < m_engines.groups().size(); ++place) {
        model_group const& group = m_engines.groups()[place];
        for (index tier = 0; tier < group.queue.tiers(); ++tier) {
            double const refused = tier < group.refusals.size()
                                       ? group.refusals[tier].per_second(now)
                                       : 0.0;
            auto const refused_count = static_cast<std::size_t>(refused * 10.0);
            if ((group.queue.size(tier) > 0 || refused_count > 0)
                && load.queues.size() < max_digest_queues) {
                load.queues.push_back(
                    {name_hash(m_engines.model(place)),
                     saturate<std::uint8_t>(tier),
                     saturate<std::uint16_t>(group.queue.size(tier)),
                     saturate<std::uint16_t>(refused_count)});
            }
        }
    }
}

void core::add_suspects(digest& load) const
{
    for (auto const& known : m_quarantine.records()) {
        // Only what this host has seen itself: were hosts to pass on what
        // they heard, they would keep each other's suspicions up for ever.
        if (known.second.last_engine == no_index) {
            continue;
        }
        if (load.suspects.size() >= max_digest_suspects) {
            return;
        }
        auto const left = std::chrono::ceil<std::chrono::seconds>(
            m_quarantine.remaining(known.first, m_now));
        load.suspects.push_back(
            {known.first,
             saturate<std::uint8_t>(known.second.evidence),
             known.second.running_on,
             saturate<std::uint16_t>(static_cast<std::size_t>(left.count()))});
    }
}

} // namespace caperjunction::decide
