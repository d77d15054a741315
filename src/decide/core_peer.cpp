#include "decide/core.hpp"
#include "decide/name_hash.hpp"

#include <algorithm>
#include <limits>

namespace caperjunction::decide {

namespace {

// Digests arrive several times per second. A host silent for this long is gone
// or disconnected, and its last load is unreliable in both cases.
constexpr model::milliseconds digest_lifetime{3000};
constexpr std::size_t peers_per_tick = 8;
constexpr double prefill_unit = 16.0;

template <typename Small>
Small saturate(std::size_t value)
{
    constexpr std::size_t max_value = std::numeric_limits<Small>::max();
    return static_cast<Small>(std::min(value, max_value));
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

void core::on(digest_received const& input)
{
    digest load;
    if (input.host == m_settings.host || !decode(input.bytes, load)) {
        return;
    }
    index const peer_index = m_peer_names.intern(input.host);
    if (peer_index == m_peers.size()) {
        m_peers.emplace_back();
        m_peers.back().name = input.host;
    }
    peer& sender = m_peers[peer_index];
    if (sender.live) {
        charge_remote_tokens(sender);
    }
    remove_peer(sender);
    sender.load = std::move(load);
    sender.received_at = m_now;
    sender.live = true;
    update_position(sender, 1);
    add_peer_load(sender, 1);
    for (suspect_load const& item : sender.load.suspects) {
        m_quarantine.merge(item.fingerprint,
                           item.evidence,
                           std::chrono::seconds(item.seconds),
                           m_now);
    }
    for (engine_load const& item : sender.load.engines) {
        index const engine = m_engines.find_hash(item.engine_hash);
        if (engine != no_index) {
            m_engines.refresh(engine, m_now);
        }
    }
}

void core::on(host_lost const& input)
{
    index const peer_index = m_peer_names.find(input.host);
    if (peer_index != no_index) {
        remove_peer(m_peers[peer_index]);
    }
}

void core::on(hand_over_refused const& input)
{
    entry* const request = find(input.id);
    if (request == nullptr || request->phase != phase::handed_over) {
        return;
    }
    m_expiries.erase({request->expires, request->id});
    request->phase = phase::queued;
    auto const expires =
        request->arrived + m_policy.rules(request->class_id).max_wait;
    if (request->returns_to_queue && expires > m_now) {
        request->expires = expires;
        enqueue(*request);
        dispatch_queued(request->group);
        return;
    }
    refuse_request(*request,
                   model::error_kind::refused,
                   expected_wait(*request),
                   "refused_by_" + input.host,
                   "send it again after the time in Retry-After");
}

void core::add_peer_load(peer const& sender, int sign)
{
    for (engine_load const& item : sender.load.engines) {
        index const engine = m_engines.find_hash(item.engine_hash);
        if (engine != no_index) {
            add(m_engines.at(engine).peer_requests, item.in_flight, sign);
            m_engines.at(engine).add_peer_prefill(
                sign * prefill_unit * item.prefill, m_now);
        }
    }
    for (queue_load const& item : sender.load.queues) {
        index const group = m_engines.find_model_hash(item.model_hash);
        if (group != no_index && item.tier < m_policy.tiers()) {
            auto& queued = m_engines.groups()[group].peer_queued;
            auto& refused = m_engines.groups()[group].peer_refused;
            queued.resize(std::max<std::size_t>(queued.size(), item.tier + 1));
            refused.resize(queued.size());
            add(queued[item.tier], item.queued, sign);
            add(refused[item.tier], item.refused, sign);
        }
    }
    for (suspect_load const& item : sender.load.suspects) {
        index const engine = m_engines.find_hash(item.engine_hash);
        if (engine != no_index && item.engine_hash != 0) {
            add(m_engines.at(engine).peer_suspects, 1, sign);
        }
    }
    for (team_load const& item : sender.load.teams) {
        auto const found = m_team_hashes.find(item.team_hash);
        if (found == m_team_hashes.end()) {
            continue;
        }
        rate_limiter& limiter = m_teams[found->second].limiter;
        limiter.peer_requests = std::max(
            0.0,
            limiter.peer_requests
                + sign * static_cast<double>(item.requests_per_second));
        limiter.peer_tokens =
            std::max(0.0,
                     limiter.peer_tokens
                         + sign * static_cast<double>(item.tokens_per_second));
        add(limiter.peer_concurrent, item.concurrent, sign);
    }
}

void core::remove_peer(peer& removed)
{
    if (!removed.live) {
        return;
    }
    add_peer_load(removed, -1);
    removed.live = false;
    update_position(removed, -1);
}

void core::charge_remote_tokens(peer const& sender)
{
    model::seconds const elapsed = m_now - sender.received_at;
    for (team_load const& item : sender.load.teams) {
        auto const found = m_team_hashes.find(item.team_hash);
        if (found != m_team_hashes.end()) {
            m_remote_tokens[found->second] +=
                static_cast<double>(item.tokens_per_second) * elapsed.count();
        }
    }
}

void core::update_position(peer const& sender, int sign)
{
    auto const delta = static_cast<std::uint32_t>(sign);
    m_position.hosts += delta;
    if (sender.load.region_hash == name_hash(m_settings.region)) {
        m_position.in_region += delta;
        m_position.rank += sender.name < m_settings.host ? delta : 0U;
    }
}

void core::poll_peers()
{
    std::size_t const count = std::min(m_peers.size(), peers_per_tick);
    for (std::size_t checked = 0; checked < count; ++checked) {
        m_next_polled_peer = (m_next_polled_peer + 1) % m_peers.size();
        peer& target = m_peers[m_next_polled_peer];
        if (target.live && m_now - target.received_at > digest_lifetime) {
            remove_peer(target);
        }
    }
}

index core::team_index(std::string const& customer,
                       std::string const& team,
                       std::string const& plan)
{
    std::string const name = customer + '/' + team;
    index const team_id = m_team_names.intern(name);
    if (team_id == m_teams.size()) {
        m_teams.emplace_back();
        m_remote_tokens.push_back(0.0);
        m_teams.back().hash = name_hash(name);
        m_team_hashes.emplace(m_teams.back().hash, team_id);
    }
    m_teams[team_id].limits = m_policy.limits(plan);
    return team_id;
}

std::vector<std::uint8_t> core::digest_bytes(model::time_point now) const
{
    digest load;
    load.region_hash = name_hash(m_settings.region);
    add_queues(load, now);
    for (index engine_index = 0; engine_index < m_engines.size();
         ++engine_index) {
        engine_state const& engine = m_engines.at(engine_index);
        if (engine.local_count() > 0
            && load.engines.size() < max_digest_engines) {
            load.engines.push_back(
                {name_hash(engine.name),
                 saturate<std::uint16_t>(engine.local_count()),
                 saturate<std::uint16_t>(static_cast<std::size_t>(
                     engine.local_prefill() / prefill_unit))});
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
    for (index group_index = 0; group_index < m_engines.groups().size();
         ++group_index) {
        model_group const& group = m_engines.groups()[group_index];
        for (index tier = 0; tier < group.queue.tiers(); ++tier) {
            double const refused = tier < group.refusals.size()
                                       ? group.refusals[tier].per_second(now)
                                       : 0.0;
            auto const refused_count = static_cast<std::size_t>(refused * 10.0);
            if ((group.queue.size(tier) > 0 || refused_count > 0)
                && load.queues.size() < max_digest_queues) {
                load.queues.push_back(
                    {name_hash(m_engines.model(group_index)),
                     saturate<std::uint8_t>(tier),
                     saturate<std::uint16_t>(group.queue.size(tier)),
                     saturate<std::uint16_t>(refused_count)});
            }
        }
    }
}

void core::add_suspects(digest& load) const
{
    // Only crashes seen by this host. If hosts forwarded what they received,
    // they would keep each other's suspicions alive forever.
    for (auto const& [fingerprint, record] :
         m_quarantine.seen_here(max_digest_suspects)) {
        auto const remaining = std::chrono::ceil<std::chrono::seconds>(
            m_quarantine.remaining(fingerprint, m_now));
        load.suspects.push_back(
            {fingerprint,
             saturate<std::uint8_t>(record.evidence),
             record.running_on,
             saturate<std::uint16_t>(
                 static_cast<std::size_t>(remaining.count()))});
    }
}

} // namespace caperjunction::decide
