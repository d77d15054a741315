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

/// Serves this host's replica of the store to other hosts, and fetches missing
/// changes from them. Upstreams and the configuration use separate requests.
///
/// Thread safety: none; owned by the loop's task.
class peer_lists
{
public:
    struct hooks
    {
        /// Called after a list from another host was merged. `before` are the
        /// revisions before the merge.
        std::function<void(routing::store_revisions const& before)> on_merged;
        std::function<void(fetch_report const&)> on_ended;
    };

    peer_lists(proxy::relay_context& context,
               store_replica& replica,
               hooks callbacks);

    /// Registers the paths that other hosts request.
    void serve_on(net::admin_server& server);

    /// Starts the fetches that are due.
    void fetch();

    /// Returns the time for which peers have had a change of upstreams that
    /// this host lacks.
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
    /// Returns what this host has, as named in a request to `from`.
    std::string since_text(routing::list_kind kind,
                           routing::peer_table::source const& from) const;
    bool merge_body(std::string_view path, std::string const& body);

    proxy::relay_context& m_context;
    store_replica& m_replica;
    hooks m_hooks;
    /// False if the last received configuration could not be decoded against
    /// the stored one. The next request then asks for the full text.
    bool m_requests_delta = true;
    std::minstd_rand m_random{std::random_device{}()};
    list_fetch m_upstreams;
    list_fetch m_configuration;
};

} // namespace caperjunction::program

#endif
