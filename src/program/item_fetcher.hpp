#ifndef CAPERJUNCTION_PROGRAM_ITEM_FETCHER_HPP
#define CAPERJUNCTION_PROGRAM_ITEM_FETCHER_HPP

#include "model/endpoint.hpp"
#include "proxy/digest_codec.hpp"
#include "proxy/upstream_connection.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace caperjunction::program {

/// Where hosts give each other what they have read.
constexpr char const* items_path = "/peer/items";

/// Asks another host for all that it has read of the platform's store, for
/// a host that the store refuses, or that starts while the store is away.
///
/// Thread safety: none; owned by the loop's task.
class item_fetcher
{
public:
    item_fetcher(runtime::event_loop& loop,
                 std::function<void(proxy::item_list const&)> on_list);
    ~item_fetcher();
    item_fetcher(item_fetcher const&) = delete;
    item_fetcher& operator=(item_fetcher const&) = delete;

    /// Begins to ask; what was asked before is given up.
    void ask(model::endpoint const& peer, std::uint64_t since);

    /// Bytes of the last list that came.
    std::size_t last_size() const
    {
        return m_body.size();
    }

    bool is_asking() const
    {
        return m_connection != nullptr;
    }

private:
    void stop();

    runtime::event_loop& m_loop;
    std::function<void(proxy::item_list const&)> m_on_list;
    std::shared_ptr<proxy::upstream_connection> m_connection;
    runtime::timer_handle m_limit;
    std::string m_body;
    int m_status = 0;
};

} // namespace caperjunction::program

#endif
