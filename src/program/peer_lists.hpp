#ifndef CAPERJUNCTION_PROGRAM_PEER_LISTS_HPP
#define CAPERJUNCTION_PROGRAM_PEER_LISTS_HPP

#include "net/admin_server.hpp"
#include "program/peer_fetcher.hpp"
#include "program/store_replica.hpp"
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
        std::function<void(routing::store_revisions const& before)> on_merged;
        std::function<void(fetch_report const&)> on_ended;
    };

    peer_lists(proxy::relay_context& context,
               store_replica& replica,
               hooks call);

    /// Adds what other hosts ask for.
    void serve_on(net::admin_server& server);

    /// Asks for what is lacking, if it is time to.
    void fetch();

    /// For how long a change of upstreams has been known to others that this
    /// host lacks.
    model::milliseconds upstreams_lag();

private:
    struct list_fetch
    {
        routing::list_kind kind;
        char const* path;
        routing::fetch_scheduler scheduler;
        peer_fetcher fetcher;
    };

    peer_fetcher::hooks hooks_for(list_fetch& list);
    void fetch(list_fetch& list);
    bool merge_body(std::string_view path, std::string const& body);

    proxy::relay_context& m_context;
    store_replica& m_replica;
    hooks m_call;
    /// False: the last configuration that came couldn't be read against the
    /// one here; the next is asked for whole.
    bool m_requests_delta = true;
    std::minstd_rand m_random{std::random_device{}()};
    list_fetch m_upstreams;
    list_fetch m_configuration;
};

} // namespace caperjunction::program

#endif
