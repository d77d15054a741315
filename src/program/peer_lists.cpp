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

peer_lists::peer_lists(proxy::relay_context& context,
                       store_replica& replica,
                       hooks callbacks)
    : m_context(context)
    , m_replica(replica)
    , m_hooks(std::move(callbacks))
    , m_upstreams{routing::list_kind::upstreams,
                  upstreams_path,
                  {},
                  {context.loop, hooks_for(m_upstreams)}}
    , m_configuration{routing::list_kind::configuration,
                      configuration_path,
                      {},
                      {context.loop, hooks_for(m_configuration)}}
{
}

peer_fetcher::hooks peer_lists::hooks_for(list_fetch& list)
{
    return {[this](std::string_view path, std::string const& body) {
                return merge_body(path, body);
            },
            [this, &list](fetch_report const& ended) {
                list.scheduler.back_off(ended.progress.bytes,
                                        m_context.peers.near_count(),
                                        m_context.loop.now());
                m_hooks.on_ended(ended);
            }};
}

void peer_lists::serve_on(net::admin_server& server)
{
    server.serve(upstreams_path, [this](std::string const& since) {
        return answer_with(
            proxy::encode_items(m_replica.changes(revision_of(since))));
    });
    server.serve(configuration_path, [this](std::string const& base) {
        return answer_with(proxy::encode_configuration(
            m_replica.configuration(revision_of(base))));
    });
    server.serve(items_path, [this](std::string const& since) {
        return answer_with(
            proxy::encode_items(m_replica.all_changes(revision_of(since))));
    });
}

void peer_lists::fetch()
{
    fetch(m_upstreams);
    fetch(m_configuration);
}

void peer_lists::fetch(list_fetch& list)
{
    if (list.fetcher.is_active()) {
        return;
    }
    routing::peer_table const& peers = m_context.peers;
    auto const newer = peers.newer_than(m_context.known, list.kind, m_random());
    routing::fetch_scheduler::host_state const state{m_context.table != nullptr,
                                                     peers.is_store_watcher(),
                                                     peers.is_aggregator()};
    if (list.scheduler.is_due(newer, state, m_context.loop.now())) {
        bool const needs_full_text =
            list.kind == routing::list_kind::configuration && !m_requests_delta;
        list.fetcher.fetch(*newer.at,
                           newer.sends_combined_list ? items_path : list.path,
                           needs_full_text ? 0 : m_context.known.of(list.kind));
    }
}

model::milliseconds peer_lists::upstreams_lag()
{
    return m_upstreams.scheduler.lag(
        m_context.known.upstreams,
        m_context.peers.newest(routing::list_kind::upstreams),
        m_context.loop.now());
}

bool peer_lists::merge_body(std::string_view path, std::string const& body)
{
    routing::store_revisions const before = m_context.known;
    if (path == configuration_path) {
        auto const received = proxy::decode_configuration(body);
        m_requests_delta = received && m_replica.merge(*received);
        if (!m_requests_delta) {
            return false;
        }
    } else {
        auto const items = proxy::decode_items(body);
        if (!items) {
            return false;
        }
        m_replica.merge(*items);
    }
    m_hooks.on_merged(before);
    return true;
}

} // namespace caperjunction::program
