#ifndef CAPERJUNCTION_TESTS_PROXY_HOST_FLEET_HPP
#define CAPERJUNCTION_TESTS_PROXY_HOST_FLEET_HPP

#include "proxy/cuttable_path.hpp"
#include "proxy/peer_gossip.hpp"
#include "proxy/relay_fixture.hpp"
#include "proxy/tunnel_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::test {

/// Of upstreams in another region.
inline std::string const far_data_centre = "far";

/// A request of a caller and what became of it.
struct first_try
{
    std::string id;
    std::size_t host = 0;
    model::time_point sent_at{};
    std::shared_ptr<plain_client> caller;

    bool is_served() const
    {
        return caller->received_bytes.rfind("HTTP/1.1 200", 0) == 0
               && caller->received_bytes.find("done") != std::string::npos;
    }

    bool says_not_run() const
    {
        return caller->received_bytes.rfind("HTTP/1.1 503", 0) == 0;
    }
};

/// A request as its host reported it.
struct ended_request
{
    std::string service;
    std::string outcome;
    /// Host in between of the last attempt; empty: none.
    std::string through;
    model::time_point at{};
};

/// Hosts on loopback that exchange digests, each with links of its own to all
/// upstreams.
class host_fleet
{
public:
    /// `data_centres` has the data centre of each host. The last `others` of
    /// the upstreams are of service `other`, the rest of service `ledger`.
    host_fleet(std::vector<std::string> const& data_centres,
               std::size_t upstreams,
               std::size_t others = 0);

    /// Sets all links of a host.
    void set_links(std::size_t host, path_state state);

    /// Sets the links of all hosts to an upstream.
    void set_upstream(std::size_t upstream, path_state state);

    /// Publishes the software version of an upstream to all hosts, as of a new
    /// start of it.
    void set_version(std::size_t upstream, std::string const& version);

    /// Gives each host a near engine: neighbours have different ones.
    void place_apart();

    /// Connects a caller to a host.
    first_try connect(std::size_t host, std::string const& id);

    /// Sends a request to a host, on a connection of its own. `more`: further
    /// headers.
    first_try send(std::size_t host,
                   std::string const& path,
                   std::string const& id,
                   std::string const& more = "",
                   std::string const& body = "order",
                   std::string const& key = "secret");

    /// Ends a host as a kill would: its connections break, and it tells nobody.
    void kill(std::size_t host);

    /// Sends a request to each host every 20 ms for `time`, in turn to the
    /// paths, each on a connection of its own.
    void play(model::milliseconds time, std::vector<std::string> const& paths);

    void run_for(model::milliseconds time);

    /// Returns how often upstreams received the request.
    std::size_t runs_of(std::string const& id) const;

    /// Returns the number of requests at the host that were sent from `since`
    /// on, and were served.
    std::size_t sent(std::size_t host, model::time_point since) const;
    std::size_t served(std::size_t host, model::time_point since) const;

    struct host
    {
        host(host_fleet& fleet,
             std::string const& data_centre,
             std::vector<model::endpoint> const& seeds,
             std::size_t others);

        // Outlives the relay, which reports what it cancels at its end.
        std::vector<ended_request> ended;
        proxy::relay_context context;
        proxy::relay relay;
        proxy::peer_gossip gossip;
        std::unique_ptr<proxy::tunnel_server> tunnels;
        std::vector<std::unique_ptr<cuttable_path>> links;
    };

    runtime::event_loop loop;
    proxy::wire_names names = platform::wire_names();
    /// The host that reads nothing of the store; no value: none.
    std::optional<std::size_t> out_of_step;
    /// How upstreams answer; that of sound ones at first.
    std::function<script(received const&)> answer;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    /// Null: it was killed.
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<first_try> tries;

private:
    int m_next_id = 0;
    std::uint64_t m_starts = 0;
};

} // namespace caperjunction::test

#endif
