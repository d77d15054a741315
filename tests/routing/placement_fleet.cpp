#include "routing/placement_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::test {
namespace {

constexpr model::milliseconds tick{10};
/// Time of a digest within a region and between regions, loop included.
constexpr model::milliseconds near_delay{5};
constexpr model::milliseconds far_delay{20};
constexpr double loss = 0.01;
/// Link of a small host. Datagrams beyond its queue are lost.
constexpr double link_bits_per_second = 20e6;
constexpr model::milliseconds max_link_queue{25};

/// What an engine reads in a millisecond, its time per request beside that, and
/// the requests that it queues.
constexpr double tokens_per_ms = 70.0;
constexpr model::milliseconds engine_base{60};
constexpr std::size_t max_queued = 48;

std::string name_of(int data_centre)
{
    return std::string(1, static_cast<char>('a' + data_centre));
}

model::endpoint address_of(int number)
{
    return {"10." + std::to_string(number / 200) + ".0."
                + std::to_string(number % 200),
            7'000};
}

std::string region_of(std::string const& data_centre)
{
    return data_centre[0] % 2 == 0 ? "even" : "odd";
}

routing::location location_from(std::string const& own,
                                std::string const& other)
{
    std::string const region = region_of(other);
    if (own == other) {
        return {routing::distance::same_data_centre, region};
    }
    return {region == region_of(own) ? routing::distance::same_region
                                     : routing::distance::other_region,
            region};
}

} // namespace

placement_fleet::host::host(model::endpoint const& own,
                            std::string const& name,
                            std::vector<model::endpoint> const& seeds)
    : at(own)
    , data_centre(static_cast<std::uint64_t>(name[0]))
    , data_centre_name(name)
    , directory([name](std::string const& other) {
        return location_from(name, other);
    })
    , picker(directory)
    , peers(own, data_centre, seeds)
{
}

placement_fleet::placement_fleet(fleet_size const& size,
                                 std::vector<request_load> loads)
    : m_size(size)
    , m_loads(std::move(loads))
    , m_results(m_loads.size())
{
    std::vector<model::endpoint> const seeds{
        address_of(0), address_of(size.hosts / 2), address_of(size.hosts - 1)};
    for (int number = 0; number < size.hosts; ++number) {
        m_hosts.push_back(std::make_unique<host>(
            address_of(number), name_of(number % size.data_centres), seeds));
        host& added = *m_hosts.back();
        m_by_address[added.at.address] = &added;
        added.next_digest = m_now + model::milliseconds(number * 37 % 1'000);
        for (int at = 0; at < size.engines; ++at) {
            auto described = engine("e" + std::to_string(at),
                                    name_of(at % size.data_centres));
            described.slots = size.slots;
            added.directory.put(described);
        }
    }
}

double placement_fleet::random_share()
{
    return static_cast<double>(m_random() - std::minstd_rand::min())
           / static_cast<double>(std::minstd_rand::max());
}

void placement_fleet::play(std::vector<double> const& per_second,
                           model::milliseconds duration)
{
    std::vector<double> due(per_second.size(), 0.0);
    auto const until = m_now + duration;
    while (m_now < until) {
        step();
        for (std::size_t kind = 0; kind < per_second.size(); ++kind) {
            // Arrivals of one tick vary by chance around the mean.
            due[kind] += per_second[kind] * model::seconds(tick).count() * 2.0
                         * random_share();
            while (due[kind] >= 1.0) {
                due[kind] -= 1.0;
                arrive(kind);
            }
        }
    }
}

void placement_fleet::reset_results()
{
    ++m_period;
    m_results.assign(m_loads.size(), {});
}

void placement_fleet::step()
{
    m_now += tick;
    deliver_digests();
    for (auto const& each : m_hosts) {
        if (m_now >= each->next_digest) {
            tick_digests(*each);
        }
        if (!each->queue.is_empty()) {
            send_batch(*each);
        }
    }
    for (auto& [id, engine] : m_engines) {
        run(engine);
    }
}

routing::peer_digest placement_fleet::own_digest(host const& from)
{
    routing::peer_digest digest;
    digest.generation = 1;
    digest.data_centre = from.data_centre;
    from.directory.each([&](routing::upstream_state const& state) {
        auto const performance = state.own_performance.performance(m_now);
        if (state.own.running > 0 || performance.observers > 0) {
            digest.loads.push_back(
                {routing::upstream_load_key(state.description.id),
                 state.own,
                 performance});
        }
    });
    auto const urgent = from.directory.own_urgent_streams("llm");
    if (urgent > 0) {
        digest.loads.push_back(
            {routing::urgent_load_key("llm"), {urgent, 0, 0}, {}});
    }
    return digest;
}

void placement_fleet::tick_digests(host& from)
{
    from.peers.forget_silent(m_now);
    auto const loads = from.peers.loads_for_remote(own_digest(from).loads);
    bool const has_change =
        from.load_changes.has_significant_change(loads, m_now);
    from.queue.add(from.peers.recipients(m_now, {}, has_change));
    if (has_change) {
        from.load_changes.record_advertised(loads, m_now);
    }
    from.peers.aggregate();
    from.directory.each([&from](routing::upstream_state& state) {
        auto const received = from.peers.load_of(
            routing::upstream_load_key(state.description.id));
        state.others = received.load;
        state.others_performance = received.performance;
    });
    from.urgent_demand.record(
        from.directory.own_urgent_streams("llm")
            + from.peers.load_of(routing::urgent_load_key("llm")).load.running,
        m_now);
    from.next_digest = m_now + from.peers.digest_period();
}

void placement_fleet::send_batch(host& from)
{
    routing::peer_digest own = own_digest(from);
    own.sequence = ++from.sequence;
    auto const digests = from.peers.make_digests(own);
    from.queue.send_batch([&](routing::peer_table::recipient const& to) {
        routing::peer_digest digest = digests.of(to.kind);
        digest.requests_reply = to.requests_reply;
        digest.neighbours =
            from.peers.neighbours_for(to.at, to.max_neighbours, m_random());
        return send(from, to.at, std::move(digest));
    });
}

std::size_t placement_fleet::send(host& from,
                                  model::endpoint const& to,
                                  routing::peer_digest digest)
{
    constexpr std::size_t bytes_without_lists = 200;
    constexpr std::size_t bytes_per_entry = 16;
    std::size_t const bytes =
        bytes_without_lists
        + bytes_per_entry
              * (digest.loads.size() + digest.aggregated_loads.size()
                 + digest.remote_loads.size() + digest.neighbours.size());
    from.link_free_at = std::max(from.link_free_at, m_now);
    auto const transit =
        model::seconds(static_cast<double>(bytes) * 8.0 / link_bits_per_second);
    bool const is_full = from.link_free_at - m_now > max_link_queue;
    auto const receiver = m_by_address.find(to.address);
    if (is_full || receiver == m_by_address.end() || random_share() < loss) {
        return bytes;
    }
    from.link_free_at +=
        std::chrono::duration_cast<model::time_point::duration>(transit);
    bool const is_far = region_of(from.data_centre_name)
                        != region_of(receiver->second->data_centre_name);
    m_network.emplace(from.link_free_at + (is_far ? far_delay : near_delay),
                      datagram{receiver->second, from.at, std::move(digest)});
    return bytes;
}

void placement_fleet::deliver_digests()
{
    auto const due = m_network.upper_bound(m_now);
    for (auto item = m_network.begin(); item != due; ++item) {
        datagram const& received = item->second;
        received.to->peers.record_digest(received.from, received.digest, m_now);
    }
    m_network.erase(m_network.begin(), due);
}

void placement_fleet::arrive(std::size_t kind)
{
    request_load const& load = m_loads[kind];
    host& at = *m_hosts[m_random() % m_hosts.size()];
    routing::prompt prompt;
    std::uint64_t const subject =
        10'000 * (kind + 1) + m_random() % load.subjects;
    prompt.parts = {{subject, load.shared_tokens}, {0, load.own_tokens}};
    prompt.tokens = load.shared_tokens + load.own_tokens;
    std::vector<std::string> const attempted;
    routing::pick_request request;
    request.route = &load.route;
    request.prompt = &prompt;
    request.service = "llm";
    request.body_bytes = prompt.tokens;
    request.attempted = &attempted;
    request.request_hash = m_random();
    request.is_most_urgent = load.route.rank == 0;
    request.urgent_streams = at.urgent_demand.expected();
    request.load_age = at.peers.max_load_age();
    auto const chosen = at.picker.choose(request, m_now);
    at.picker.record_sent(request, *chosen.to, m_now);
    ++m_results[kind].sent;
    simulated_engine& engine = m_engines[chosen.to->description.id];
    if (engine.queue.size() >= max_queued) {
        ++m_results[kind].turned_away;
        return;
    }
    auto sent = std::make_unique<job>();
    sent->kind = kind;
    sent->period = m_period;
    sent->rank = load.route.rank;
    sent->prefix = subject;
    sent->shared = load.shared_tokens;
    sent->sent_at = m_now;
    sent->forecast = chosen.forecast;
    sent->load = routing::load_ticket(chosen, request, m_now);
    engine.queue.push_back(std::move(sent));
}

void placement_fleet::run(simulated_engine& engine)
{
    for (auto item = engine.running.begin(); item != engine.running.end();) {
        job& current = **item;
        if (!current.has_begun && m_now >= current.first_event) {
            record_first_event(current);
        }
        if (m_now < current.end) {
            ++item;
            continue;
        }
        item = engine.running.erase(item);
    }
    while (engine.running.size() < m_size.slots && !engine.queue.empty()) {
        auto const next = std::min_element(engine.queue.begin(),
                                           engine.queue.end(),
                                           [](auto const& a, auto const& b) {
                                               return a->rank < b->rank;
                                           });
        start(engine, **next);
        engine.running.push_back(std::move(*next));
        engine.queue.erase(next);
    }
}

void placement_fleet::start(simulated_engine& engine, job& next)
{
    request_load const& load = m_loads[next.kind];
    bool const is_cached =
        std::exchange(engine.cached_prefixes[next.prefix], true);
    double const tokens = load.own_tokens + (is_cached ? 0 : next.shared);
    model::milliseconds const prefill(std::lround(tokens / tokens_per_ms));
    engine.prefill_free_at = std::max(m_now, engine.prefill_free_at) + prefill;
    next.first_event = engine.prefill_free_at + engine_base;
    next.end = next.first_event + load.stream;
}

void placement_fleet::record_first_event(job& begun)
{
    begun.has_begun = true;
    begun.load.record_first_event(m_now);
    if (begun.period != m_period) {
        return;
    }
    auto const wait =
        std::chrono::duration_cast<model::milliseconds>(m_now - begun.sent_at);
    request_result& result = m_results[begun.kind];
    ++result.served;
    result.on_time += wait <= m_loads[begun.kind].route.latency_target ? 1 : 0;
    bool const is_close =
        wait <= begun.forecast * 2 && begun.forecast <= wait * 2;
    result.forecast_within_factor_of_two += is_close ? 1 : 0;
}

} // namespace caperjunction::test
