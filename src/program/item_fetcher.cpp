#include "program/item_fetcher.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::program {
namespace {

constexpr model::milliseconds connect_limit{300};
/// For some hundred kilobytes over a narrow link.
constexpr model::milliseconds answer_limit{2'000};
constexpr int ok = 200;

} // namespace

item_fetcher::item_fetcher(runtime::event_loop& loop,
                           std::function<void(proxy::item_list const&)> on_list)
    : m_loop(loop)
    , m_on_list(std::move(on_list))
{
}

item_fetcher::~item_fetcher()
{
    stop();
}

void item_fetcher::stop()
{
    m_loop.cancel(m_limit);
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
}

void item_fetcher::ask(model::endpoint const& peer, std::uint64_t since)
{
    stop();
    m_body.clear();
    m_connection = std::make_shared<proxy::upstream_connection>(m_loop, peer);
    m_limit = m_loop.after(answer_limit, [this] {
        stop();
    });
    m_connection->send(fmt::format("GET {}?id={} HTTP/1.1\r\nHost: {}\r\n"
                                   "Connection: close\r\n\r\n",
                                   items_path,
                                   since,
                                   peer.address),
                       false,
                       connect_limit,
                       {[this](proxy::message_head&& head) {
                            m_status = head.status;
                        },
                        [this](std::string_view bytes) {
                            m_body.append(bytes);
                        },
                        [this] {
                            auto const list = m_status == ok
                                                  ? proxy::decode_items(m_body)
                                                  : std::nullopt;
                            stop();
                            if (list) {
                                m_on_list(*list);
                            }
                        },
                        [this](proxy::answer_fault) {
                            // Asked again, perhaps elsewhere, as long as it is
                            // needed.
                            stop();
                        }});
}

} // namespace caperjunction::program
