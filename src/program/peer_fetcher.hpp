#ifndef CAPERJUNCTION_PROGRAM_PEER_FETCHER_HPP
#define CAPERJUNCTION_PROGRAM_PEER_FETCHER_HPP

#include "model/endpoint.hpp"
#include "proxy/http_get.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::program {

/// Path at which hosts serve upstream changes to each other.
constexpr char const* upstreams_path = "/peer/upstreams";
/// Path at which hosts serve the configuration to each other.
constexpr char const* configuration_path = "/peer/configuration";
/// Path of the combined list, for hosts of earlier versions.
constexpr char const* items_path = "/peer/items";

/// Result of one fetch from another host, for the log and the metrics.
struct fetch_report
{
    model::endpoint from;
    std::string_view path;
    /// Position or version after which changes were requested.
    std::string since;
    /// `taken`, `unreadable`, or the reason for a missing answer.
    std::string_view outcome;
    int status = 0;
    proxy::get_progress progress;
};

/// Fetches another host's replicated state of the platform's store.
///
/// Thread safety: none; owned by the loop's task.
class peer_fetcher
{
public:
    struct hooks
    {
        /// Returns false if the body cannot be decoded.
        std::function<bool(std::string_view path, std::string const& body)>
            on_body;
        /// Called at the end of each fetch, after `on_body`.
        std::function<void(fetch_report const&)> on_ended;
    };

    peer_fetcher(runtime::event_loop& loop, hooks callbacks);

    /// Starts a request for `path` and cancels the previous one.
    /// \pre `path` outlives the request.
    void fetch(model::endpoint const& peer,
               std::string_view path,
               std::string const& since);

    bool is_active() const
    {
        return m_get.is_active();
    }

private:
    void ended(fetch_report report, std::string_view outcome);

    hooks m_hooks;
    proxy::http_get m_get;
};

} // namespace caperjunction::program

#endif
