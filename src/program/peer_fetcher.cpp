#include "program/peer_fetcher.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds connect_limit{300};
/// A host that sends nothing for so long is left for another. On a full link
/// many answers take turns.
constexpr model::milliseconds quiet_limit{1'000};
constexpr int ok = 200;

} // namespace

peer_fetcher::peer_fetcher(runtime::event_loop& loop, hooks call)
    : m_call(std::move(call))
    , m_get(loop)
{
}

void peer_fetcher::ask(model::endpoint const& peer,
                       std::string_view path,
                       std::uint64_t since)
{
    proxy::get_request request;
    request.at = peer;
    request.target = fmt::format("{}?id={}", path, since);
    request.is_last = true;
    request.connect_limit = connect_limit;
    request.first_byte_limit = quiet_limit;
    request.quiet_limit = quiet_limit;
    m_get.ask(request,
              {[this, peer, path, since](int status, std::string const& body) {
                   bool const taken =
                       status == ok && m_call.on_body(path, body);
                   ended({peer, path, since, "", status},
                         taken ? "taken" : "unreadable");
               },
               [this, peer, path, since](std::string_view why) {
                   // Asked again, perhaps elsewhere, as long as it is needed.
                   ended({peer, path, since}, why);
               }});
}

void peer_fetcher::ended(fetch_report report, std::string_view outcome)
{
    report.outcome = outcome;
    report.progress = m_get.progress();
    m_call.on_ended(report);
}

} // namespace caperjunction::program
