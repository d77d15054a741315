#include "program/peer_fetcher.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds connect_timeout{300};
/// A host that sends nothing for so long is left for another. On a full link
/// many answers take turns.
constexpr model::milliseconds idle_timeout{1'000};
constexpr int ok = 200;

} // namespace

peer_fetcher::peer_fetcher(runtime::event_loop& loop, hooks call)
    : m_call(std::move(call))
    , m_get(loop)
{
}

void peer_fetcher::fetch(model::endpoint const& peer,
                         std::string_view path,
                         std::uint64_t since)
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
             bool const taken = status == ok && m_call.on_body(path, body);
             ended({peer, path, since, "", status},
                   taken ? "taken" : "unreadable");
         },
         [this, peer, path, since](std::string_view reason) {
             // Asked again, perhaps elsewhere, as long as it is needed.
             ended({peer, path, since}, reason);
         }});
}

void peer_fetcher::ended(fetch_report report, std::string_view outcome)
{
    report.outcome = outcome;
    report.progress = m_get.progress();
    m_call.on_ended(report);
}

} // namespace caperjunction::program
