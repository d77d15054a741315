#ifndef CAPERJUNCTION_PROGRAM_ITEM_FETCHER_HPP
#define CAPERJUNCTION_PROGRAM_ITEM_FETCHER_HPP

#include "model/endpoint.hpp"
#include "proxy/digest_codec.hpp"
#include "proxy/http_get.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace caperjunction::program {

/// Where hosts give each other what they have read.
constexpr char const* items_path = "/peer/items";

/// How one call for a list ended, for the log and the metrics.
struct fetch_report
{
    model::endpoint from;
    /// What was asked for: all changes after this one.
    std::uint64_t since = 0;
    /// taken, unreadable, or why there is no answer.
    std::string_view outcome;
    int status = 0;
    proxy::get_progress progress;
};

/// Asks another host for all that it has read of the platform's store, for
/// a host that the store refuses, or that starts while the store is away.
///
/// Thread safety: none; owned by the loop's task.
class item_fetcher
{
public:
    struct hooks
    {
        std::function<void(proxy::item_list const&)> on_list;
        /// Called for each call that ended, before `on_list`.
        std::function<void(fetch_report const&)> on_ended;
    };

    item_fetcher(runtime::event_loop& loop, hooks call);

    /// Begins to ask; what was asked before is given up.
    void ask(model::endpoint const& peer, std::uint64_t since);

    /// Bytes of the last list that came.
    std::size_t last_size() const
    {
        return m_get.progress().bytes;
    }

    bool is_asking() const
    {
        return m_get.is_asking();
    }

private:
    void take(fetch_report report, std::string const& body);
    void ended(fetch_report report, std::string_view outcome);

    hooks m_call;
    proxy::http_get m_get;
};

} // namespace caperjunction::program

#endif
