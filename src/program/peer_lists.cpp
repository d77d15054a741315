#include "program/peer_lists.hpp"

#include "proxy/list_codec.hpp"
#include "proxy/message_head.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

net::admin_answer answer_with(std::string bytes)
{
    return {200, "application/octet-stream", std::move(bytes)};
}

std::uint64_t revision_of(std::string const& id)
{
    return proxy::parse_number(id).value_or(0);
}

} // namespace

peer_lists::peer_lists(proxy::relay_context& context, beliefs& own, hooks call)
    : m_context(context)
    , m_beliefs(own)
    , m_call(std::move(call))
    , m_upstreams{routing::list_kind::upstreams,
                  upstreams_path,
                  {},
                  {context.loop, hooks_of(m_upstreams)}}
    , m_configuration{routing::list_kind::configuration,
                      configuration_path,
                      {},
                      {context.loop, hooks_of(m_configuration)}}
{
}

peer_fetcher::hooks peer_lists::hooks_of(asking& lane)
{
    return {[this](std::string_view path, std::string const& body) {
                return take(path, body);
            },
            [this, &lane](fetch_report const& ended) {
                lane.turn.back_off(ended.progress.bytes,
                                   m_context.peers.near_count(),
                                   m_context.loop.now());
                m_call.on_ended(ended);
            }};
}

void peer_lists::serve_on(net::admin_server& server)
{
    server.serve(upstreams_path, [this](std::string const& since) {
        return answer_with(
            proxy::encode_items(m_beliefs.changes(revision_of(since))));
    });
    server.serve(configuration_path, [this](std::string const& base) {
        return answer_with(proxy::encode_configuration(
            m_beliefs.configuration(revision_of(base))));
    });
    server.serve(items_path, [this](std::string const& since) {
        return answer_with(
            proxy::encode_items(m_beliefs.all_changes(revision_of(since))));
    });
}

void peer_lists::ask()
{
    ask(m_upstreams);
    ask(m_configuration);
}

void peer_lists::ask(asking& lane)
{
    if (lane.fetcher.is_asking()) {
        return;
    }
    routing::peer_table const& peers = m_context.peers;
    auto const newer = peers.newer_than(m_context.known, lane.lane, m_random());
    routing::fetch_scheduler::host_state const about{m_context.table != nullptr,
                                                     peers.is_store_watcher(),
                                                     peers.is_aggregator()};
    if (lane.turn.is_due(newer, about, m_context.loop.now())) {
        bool const is_whole = lane.lane == routing::list_kind::configuration
                              && !m_asks_for_difference;
        lane.fetcher.ask(*newer.at,
                         newer.sends_combined_list ? items_path : lane.path,
                         is_whole ? 0 : m_context.known.of(lane.lane));
    }
}

model::milliseconds peer_lists::upstreams_lag()
{
    return m_upstreams.turn.lag(
        m_context.known.upstreams,
        m_context.peers.newest(routing::list_kind::upstreams),
        m_context.loop.now());
}

bool peer_lists::take(std::string_view path, std::string const& body)
{
    routing::store_revisions const before = m_context.known;
    if (path == configuration_path) {
        auto const told = proxy::decode_configuration(body);
        m_asks_for_difference = told && m_beliefs.merge(*told);
        if (!m_asks_for_difference) {
            return false;
        }
    } else {
        auto const list = proxy::decode_items(body);
        if (!list) {
            return false;
        }
        m_beliefs.merge(*list);
    }
    m_call.on_taken(before);
    return true;
}

} // namespace caperjunction::program
