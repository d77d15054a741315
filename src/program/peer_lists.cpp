#include "program/peer_lists.hpp"

#include "proxy/list_codec.hpp"
#include "proxy/message_head.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::program {
namespace {

net::admin_answer answer_with(std::string bytes)
{
    return {200, "application/octet-stream", std::move(bytes)};
}

constexpr char era_separator = '.';
constexpr char version_mark = 'v';

// Hosts of earlier versions send the revision alone, and take one with an era
// for none: they answer with a complete list.
std::string text_of(routing::store_position at)
{
    return at.era == 0
               ? std::to_string(at.revision)
               : fmt::format("{}{}{}", at.era, era_separator, at.revision);
}

/// Returns a position that is not set if the text is none.
routing::store_position position_of(std::string_view text)
{
    auto const separator = text.find(era_separator);
    if (separator == std::string_view::npos) {
        return proxy::parse_number(text).value_or(0);
    }
    auto const era = proxy::parse_number(text.substr(0, separator));
    auto const revision = proxy::parse_number(text.substr(separator + 1));
    return era && revision ? routing::store_position{*revision, *era}
                           : routing::store_position{};
}

/// Returns 0, for the full text, if the text is no version. Hosts of earlier
/// versions send a revision.
std::uint64_t version_of(std::string_view text)
{
    bool const is_version = !text.empty() && text.front() == version_mark;
    return is_version ? proxy::parse_number(text.substr(1)).value_or(0) : 0;
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
            proxy::encode_items(m_replica.changes(position_of(since))));
    });
    server.serve(configuration_path, [this](std::string const& base) {
        return answer_with(proxy::encode_configuration(
            m_replica.configuration(version_of(base))));
    });
    server.serve(items_path, [this](std::string const& since) {
        return answer_with(
            proxy::encode_items(m_replica.all_changes(position_of(since))));
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
        list.fetcher.fetch(*newer.at,
                           newer.sends_combined_list ? items_path : list.path,
                           since_text(list.kind, newer));
    }
}

std::string
peer_lists::since_text(routing::list_kind kind,
                       routing::peer_table::source const& from) const
{
    if (kind == routing::list_kind::upstreams || from.sends_combined_list) {
        return text_of(m_context.known.upstreams);
    }
    bool const asks_for_delta =
        m_requests_delta && from.knows_configuration_versions;
    return asks_for_delta ? fmt::format(
               "{}{}", version_mark, m_context.known.configuration)
                          : "0";
}

model::milliseconds peer_lists::upstreams_lag()
{
    return m_upstreams.scheduler.lag(m_context.known.upstreams,
                                     m_context.peers.newest_upstreams(),
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
