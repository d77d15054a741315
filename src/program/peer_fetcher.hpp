#ifndef CAPERJUNCTION_PROGRAM_PEER_FETCHER_HPP
#define CAPERJUNCTION_PROGRAM_PEER_FETCHER_HPP

#include "model/endpoint.hpp"
#include "proxy/http_get.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::program {

/// Where hosts give each other the changes of upstreams.
constexpr char const* upstreams_path = "/peer/upstreams";
/// Where they give each other the configuration.
constexpr char const* configuration_path = "/peer/configuration";
/// Both in one list, for hosts of earlier versions.
constexpr char const* items_path = "/peer/items";

/// How one call for what another host has ended, for the log and the metrics.
struct fetch_report
{
    model::endpoint from;
    std::string_view path;
    /// What was asked for: all changes after this one.
    std::uint64_t since = 0;
    /// taken, unreadable, or why there is no answer.
    std::string_view outcome;
    int status = 0;
    proxy::get_progress progress;
};

/// Asks another host for what it has read of the platform's store.
///
/// Thread safety: none; owned by the loop's task.
class peer_fetcher
{
public:
    struct hooks
    {
        /// False if the bytes can't be read.
        std::function<bool(std::string_view path, std::string const& body)>
            on_body;
        /// Called for each call that ended, after `on_body`.
        std::function<void(fetch_report const&)> on_ended;
    };

    peer_fetcher(runtime::event_loop& loop, hooks call);

    /// Begins to ask for what `path` gives; what was asked before is given up.
    /// \pre path outlives the call.
    void fetch(model::endpoint const& peer,
               std::string_view path,
               std::uint64_t since);

    bool is_active() const
    {
        return m_get.is_active();
    }

private:
    void ended(fetch_report report, std::string_view outcome);

    hooks m_call;
    proxy::http_get m_get;
};

} // namespace caperjunction::program

#endif
