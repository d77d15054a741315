#include "proxy/host_fleet.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>

namespace caperjunction::test {
namespace {

std::uint64_t hash_of(std::string const& name)
{
    return XXH3_64bits(name.data(), name.size());
}

/// Returns a port for datagrams that is free now.
std::uint16_t free_port()
{
    int const probe = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)bind(probe, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

proxy::relay_settings settings_of(std::string const& data_centre,
                                  std::vector<model::endpoint> const& seeds)
{
    proxy::relay_settings result = test_settings();
    result.peer_listen = {"127.0.0.1", free_port()};
    result.data_centre = hash_of(data_centre);
    result.seeds = seeds;
    result.tunnel_listen = {"127.0.0.1", 0};
    return result;
}

/// The answer of a sound upstream: a stream on paths of streams. Some plain
/// answers end their connection.
script sound_answer(received const& request)
{
    constexpr int requests_per_connection = 3;
    if (request.head.target.rfind("/stream/", 0) == 0) {
        return {stream_head() + chunk("id: 1\ndata: done\n\n") + "0\r\n\r\n"};
    }
    bool const ends = request.number % requests_per_connection == 0;
    return {valid_answer("done", ends ? "Connection: close\r\n" : "")};
}

} // namespace

host_fleet::host::host(host_fleet& fleet,
                       std::string const& data_centre,
                       std::vector<model::endpoint> const& seeds,
                       std::size_t others)
    : context(
        fleet.loop,
        fleet.names,
        settings_of(data_centre, seeds),
        [&fleet] {
            return fleet.loop.now();
        },
        [](std::string const& data_centre) {
            routing::location result;
            if (data_centre == far_data_centre) {
                result.network_distance = routing::distance::other_region;
            }
            return result;
        })
    , relay(context)
    , gossip(context, context.settings.peer_listen)
{
    context.table =
        std::make_shared<routing::route_table const>(test_configuration());
    context.known.upstreams = 1;
    context.on_ended = [this, &fleet](proxy::exchange_report const& report) {
        ended.push_back({std::string(report.service),
                         std::string(report.outcome),
                         std::string(report.through),
                         fleet.loop.now()});
    };
    tunnels = std::make_unique<proxy::tunnel_server>(context);
    context.settings.tunnel_listen.port = tunnels->port();
    for (auto const& upstream : fleet.upstreams) {
        links.push_back(
            std::make_unique<cuttable_path>(fleet.loop, upstream->at()));
        routing::upstream described;
        described.id = "i-" + std::to_string(links.size());
        described.service =
            links.size() + others > fleet.upstreams.size() ? "other" : "ledger";
        described.at = links.back()->at();
        described.slots = 4;
        context.directory.put(described);
    }
}

host_fleet::host_fleet(std::vector<std::string> const& data_centres,
                       std::size_t upstream_count,
                       std::size_t others)
    : answer(sound_answer)
{
    for (std::size_t index = 0; index < upstream_count; ++index) {
        upstreams.push_back(std::make_unique<scripted_upstream>(
            loop, [this](received const& request) {
                return answer(request);
            }));
    }
    std::vector<model::endpoint> seeds;
    for (std::string const& data_centre : data_centres) {
        hosts.push_back(
            std::make_unique<host>(*this, data_centre, seeds, others));
        seeds.push_back(hosts.back()->context.settings.peer_listen);
    }
    // Until each has received digests of the others.
    run_for(400ms);
}

void host_fleet::set_links(std::size_t host, path_state state)
{
    for (auto const& link : hosts[host]->links) {
        link->set(state);
    }
}

void host_fleet::set_upstream(std::size_t upstream, path_state state)
{
    for (auto const& item : hosts) {
        if (item) {
            item->links[upstream]->set(state);
        }
    }
}

void host_fleet::set_version(std::size_t upstream, std::string const& version)
{
    ++m_starts;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        auto const& item = hosts[host];
        if (item && host != out_of_step) {
            auto described = item->context.directory
                                 .find("i-" + std::to_string(upstream + 1))
                                 ->description;
            described.software_version = version;
            described.started = m_starts;
            item->context.directory.put(described);
            item->context.known.upstreams = m_starts;
        }
    }
}

void host_fleet::place_apart()
{
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        auto& directory = hosts[host]->context.directory;
        for (std::size_t engine = 0; engine < upstreams.size(); ++engine) {
            auto described =
                directory.find("i-" + std::to_string(engine + 1))->description;
            bool const is_near = engine == host % upstreams.size();
            described.data_centre = is_near ? "" : far_data_centre;
            directory.put(described);
        }
    }
}

first_try host_fleet::connect(std::size_t host, std::string const& id)
{
    if (host != out_of_step) {
        hosts[host]->context.keys.renew(loop.now());
    }
    first_try made;
    made.id = id;
    made.host = host;
    made.sent_at = loop.now();
    made.caller = std::make_shared<plain_client>();
    auto* const raw = made.caller.get();
    raw->stream =
        proxy::tcp_stream::connect(loop,
                                   {"127.0.0.1", hosts[host]->relay.port()},
                                   1'000ms,
                                   {nullptr,
                                    [raw](std::string_view bytes) {
                                        raw->received_bytes.append(bytes);
                                    },
                                    [raw](proxy::connection_end) {
                                        raw->closed = true;
                                    },
                                    nullptr});
    return made;
}

first_try host_fleet::send(std::size_t host,
                           std::string const& path,
                           std::string const& id,
                           std::string const& more,
                           std::string const& body,
                           std::string const& key)
{
    first_try made = connect(host, id);
    made.caller->stream->write(
        relay_fixture::request(path, id, more, body, key));
    return made;
}

void host_fleet::kill(std::size_t host)
{
    hosts[host].reset();
}

void host_fleet::run_for(model::milliseconds time)
{
    bool over = false;
    loop.after(time, [&over] {
        over = true;
    });
    while (!over) {
        loop.run_once();
    }
}

void host_fleet::play(model::milliseconds time,
                      std::vector<std::string> const& paths)
{
    auto const until = loop.now() + time;
    while (loop.now() < until) {
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            if (!hosts[index]) {
                continue;
            }
            std::string const id = "r" + std::to_string(++m_next_id);
            auto const number = static_cast<std::size_t>(m_next_id);
            tries.push_back(send(index, paths[number % paths.size()], id));
        }
        run_for(20ms);
    }
}

std::size_t host_fleet::runs_of(std::string const& id) const
{
    std::size_t runs = 0;
    for (auto const& upstream : upstreams) {
        runs += static_cast<std::size_t>(std::count_if(
            upstream->requests.begin(),
            upstream->requests.end(),
            [&id](received const& request) {
                auto const* const own = request.head.find("Attempt-Id");
                return own != nullptr && *own == id;
            }));
    }
    return runs;
}

std::size_t host_fleet::sent(std::size_t host, model::time_point since) const
{
    return static_cast<std::size_t>(
        std::count_if(tries.begin(), tries.end(), [&](first_try const& item) {
            return item.host == host && item.sent_at >= since;
        }));
}

std::size_t host_fleet::served(std::size_t host, model::time_point since) const
{
    return static_cast<std::size_t>(
        std::count_if(tries.begin(), tries.end(), [&](first_try const& item) {
            return item.host == host && item.sent_at >= since
                   && item.is_served();
        }));
}

} // namespace caperjunction::test
