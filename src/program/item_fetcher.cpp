#include "program/item_fetcher.hpp"

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

item_fetcher::item_fetcher(runtime::event_loop& loop, hooks call)
    : m_call(std::move(call))
    , m_get(loop)
{
}

void item_fetcher::ask(model::endpoint const& peer, std::uint64_t since)
{
    proxy::get_request request;
    request.at = peer;
    request.target = fmt::format("{}?id={}", items_path, since);
    request.is_last = true;
    request.connect_limit = connect_limit;
    request.first_byte_limit = quiet_limit;
    request.quiet_limit = quiet_limit;
    m_get.ask(request,
              {[this, peer, since](int status, std::string const& body) {
                   take({peer, since, "", status}, body);
               },
               [this, peer, since](std::string_view why) {
                   // Asked again, perhaps elsewhere, as long as it is needed.
                   ended({peer, since}, why);
               }});
}

void item_fetcher::take(fetch_report report, std::string const& body)
{
    auto const list =
        report.status == ok ? proxy::decode_items(body) : std::nullopt;
    ended(std::move(report), list ? "taken" : "unreadable");
    if (list) {
        m_call.on_list(*list);
    }
}

void item_fetcher::ended(fetch_report report, std::string_view outcome)
{
    report.outcome = outcome;
    report.progress = m_get.progress();
    m_call.on_ended(report);
}

} // namespace caperjunction::program
