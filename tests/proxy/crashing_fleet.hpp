#ifndef CAPERJUNCTION_TESTS_PROXY_CRASHING_FLEET_HPP
#define CAPERJUNCTION_TESTS_PROXY_CRASHING_FLEET_HPP

#include "proxy/host_fleet.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caperjunction::test {

/// Parts of a prompt that requests share, in order.
using shared_parts = std::vector<std::string>;

/// How an engine ends.
enum class crash_way : std::uint8_t
{
    /// Its connections are reset, and new ones refused, until it starts again.
    resets,
    /// Nothing passes until it starts again; then the same.
    falls_silent,
};

/// Hosts before engines that crash when they begin to write an answer on a part
/// or to run one request, and start again some time later.
class crashing_fleet
{
public:
    /// A request with a prompt that ends with a part of its own.
    struct prompt_request
    {
        first_try made;
        shared_parts parts;
        /// Whether it holds a part that crashes engines.
        bool is_guilty = false;
    };

    /// The last `others` of the engines are of service `other`, the rest of
    /// service `ledger`.
    crashing_fleet(std::vector<std::string> const& data_centres,
                   std::size_t engines,
                   std::size_t others = 0);

    /// Starts one more host.
    void add_host(std::string const& data_centre);

    /// A request that is sent again and again, each time under a new id.
    struct repeated_request
    {
        std::string path;
        std::string body;
        std::string key = "secret";
    };

    /// Sends a repeated request to a host.
    first_try repeat(std::size_t host, repeated_request const& repeated);

    /// Sends it to the hosts in turn, once each `gap`, or to the only one.
    std::vector<first_try> repeat_in_turn(repeated_request const& repeated,
                                          int times,
                                          model::milliseconds gap);

    /// Returns when engines received one of the requests that crash them.
    std::vector<model::time_point> const& arrivals() const
    {
        return m_arrivals;
    }

    /// Returns the number of these from `grace` after the third crash on.
    std::size_t late_arrivals(model::milliseconds grace) const;

    /// Returns the number of requests that crash engines and arrived from
    /// `grace` after the third engine had ended on.
    std::size_t arrivals_after_third_end(model::milliseconds grace) const;

    /// Sends a request to the next host on a path of the fixture.
    void send(std::string const& path, shared_parts const& parts);

    /// Ends an engine: its connections break, and new ones are refused until it
    /// starts again.
    void crash(std::size_t engine);

    /// Returns the requests that hold a part that crashes engines and were sent
    /// to an engine.
    std::size_t guilty_runs() const;

    /// As above, of those that were sent from `since` on.
    std::size_t guilty_runs_since(model::time_point since) const;

    /// Returns the requests without such a part that were sent from `since` on.
    std::vector<prompt_request> sound_since(model::time_point since) const;

    host_fleet fleet;
    /// Parts that crash engines.
    std::set<std::string> crashing_parts;
    /// Bodies of requests that crash engines.
    std::set<std::string> crashing_bodies;
    crash_way way = crash_way::resets;
    /// Time that other requests without a prompt take.
    model::milliseconds work{0};
    std::vector<prompt_request> requests;
    /// When engines crashed because of a part.
    std::vector<model::time_point> crashes;
    /// When engines ended because of a part, each start of one once.
    std::vector<model::time_point> ends;
    /// Whether an engine crashes at such a part, rather than break off the one
    /// answer.
    bool crashes_engines = true;
    /// The host that gets all requests; no value: each one in turn.
    std::optional<std::size_t> only_host;
    /// Time after which an engine starts again.
    model::milliseconds repair{700};

private:
    script answer(received const& request);
    script answer_plain(received const& request) const;
    void end_later(std::size_t engine);
    std::size_t arrivals_after(std::vector<model::time_point> const& crashes,
                               model::milliseconds grace) const;
    bool is_guilty(std::string const& prompt) const;

    std::size_t m_others = 0;
    std::set<std::size_t> m_ended;
    int m_next_id = 0;
    std::vector<model::time_point> m_arrivals;
};

/// Returns the share of requests that were served.
double
share_served(std::vector<crashing_fleet::prompt_request> const& requests);

/// Whether a request was refused because of a part of its prompt.
bool is_refused_for_parts(crashing_fleet::prompt_request const& request);

/// Whether a request was refused because it crashes engines.
bool is_quarantined(first_try const& made);

/// Returns the number of requests that were refused without a run.
std::size_t
refused(std::vector<crashing_fleet::prompt_request> const& requests);

} // namespace caperjunction::test

#endif
