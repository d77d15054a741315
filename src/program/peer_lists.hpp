#ifndef CAPERJUNCTION_PROGRAM_PEER_LISTS_HPP
#define CAPERJUNCTION_PROGRAM_PEER_LISTS_HPP

#include "net/admin_server.hpp"
#include "program/beliefs.hpp"
#include "program/peer_fetcher.hpp"
#include "proxy/relay_context.hpp"
#include "routing/fetch_scheduler.hpp"

#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace caperjunction::program {

/// Gives other hosts what this one has read of the store, and asks them for
/// what it lacks: upstreams and the configuration each by calls of their own.
///
/// Thread safety: none; owned by the loop's task.
class peer_lists
{
public:
    struct hooks
    {
        /// Something came from another host, which knew more than `before`.
        std::function<void(routing::store_revisions const& before)> on_taken;
        std::function<void(fetch_report const&)> on_ended;
    };

    peer_lists(proxy::relay_context& context, beliefs& own, hooks call);

    /// Adds what other hosts ask for.
    void serve_on(net::admin_server& server);

    /// Asks for what is lacking, if it is time to.
    void ask();

    /// For how long a change of upstreams has been known to others that this
    /// host lacks.
    model::milliseconds upstreams_lag();

private:
    struct asking
    {
        routing::list_kind lane;
        char const* path;
        routing::fetch_scheduler turn;
        peer_fetcher fetcher;
    };

    peer_fetcher::hooks hooks_of(asking& lane);
    void ask(asking& lane);
    bool take(std::string_view path, std::string const& body);

    proxy::relay_context& m_context;
    beliefs& m_beliefs;
    hooks m_call;
    /// False: the last configuration that came couldn't be read against the
    /// one here; the next is asked for whole.
    bool m_asks_for_difference = true;
    std::minstd_rand m_random{std::random_device{}()};
    asking m_upstreams;
    asking m_configuration;
};

} // namespace caperjunction::program

#endif
