#include "program/peer_fetcher.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds connect_timeout{300};
/// A fetch without progress for this time is aborted, and another host can be
/// tried. The limit allows for a congested link on which many answers take
/// turns.
constexpr model::milliseconds idle_timeout{1'000};
constexpr int ok = 200;

} // namespace

peer_fetcher::peer_fetcher(runtime::event_loop& loop, hooks callbacks)
    : m_hooks(std::move(callbacks))
    , m_get(loop)
{
}

void peer_fetcher::fetch(model::endpoint const& peer,
                         std::string_view path,
                         std::string const& since)
{
    proxy::get_request request;
    request.at = peer;
    request.target = fmt::format("{}?id={}", path, since);
    request.close_after = true;
    request.connect_timeout = connect_timeout;
    request.first_byte_timeout = idle_timeout;
    request.idle_timeout = idle_timeout;
    m_get.start(
        request,
        {[this, peer, path, since](int status, std::string const& body) {
             bool const taken = status == ok && m_hooks.on_body(path, body);
             ended({peer, path, since, "", status},
                   taken ? "taken" : "unreadable");
         },
         [this, peer, path, since](std::string_view reason) {
             // `peer_lists` fetches again, possibly from another host, as
             // long as the list is missing.
             ended({peer, path, since}, reason);
         }});
}

void peer_fetcher::ended(fetch_report report, std::string_view outcome)
{
    report.outcome = outcome;
    report.progress = m_get.progress();
    m_hooks.on_ended(report);
}

} // namespace caperjunction::program
