#include "routing/host_queue.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace caperjunction::routing {
namespace {

bool comes_before(waiting_request const& left, waiting_request const& right)
{
    return std::tie(left.rank, left.is_excess, left.until, left.number)
           < std::tie(right.rank, right.is_excess, right.until, right.number);
}

} // namespace

bool host_queue::has_room(std::size_t requests, std::size_t body_bytes) const
{
    return requests < max_requests
           && m_body_bytes + body_bytes <= max_body_bytes;
}

bool host_queue::may_displace_enough(waiting_request const& added) const
{
    std::size_t kept = 0;
    std::size_t kept_bytes = added.body_bytes;
    for (waiting_request const& item : m_waiting) {
        if (item.rank <= added.rank) {
            ++kept;
            kept_bytes += item.body_bytes;
        }
    }
    return kept < max_requests && kept_bytes <= max_body_bytes;
}

std::optional<std::uint64_t> host_queue::try_add(waiting_request request,
                                                 displace_hook const& displace)
{
    if (!may_displace_enough(request)) {
        return std::nullopt;
    }
    while (!has_room(m_waiting.size(), request.body_bytes)) {
        std::uint64_t const last = m_waiting.back().number;
        displace(last);
        remove(last);
    }
    request.number = ++m_last_number;
    m_body_bytes += request.body_bytes;
    auto const at = std::upper_bound(
        m_waiting.begin(), m_waiting.end(), request, comes_before);
    return m_waiting.insert(at, std::move(request))->number;
}

void host_queue::remove(std::uint64_t number)
{
    auto const found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [number](auto const& item) {
            return item.number == number;
        });
    if (found != m_waiting.end()) {
        m_body_bytes -= found->body_bytes;
        m_waiting.erase(found);
    }
}

void host_queue::run_round(attempt_hook const& attempt)
{
    auto const snapshot = m_waiting;
    std::set<std::string> blocked;
    for (waiting_request const& item : snapshot) {
        if (!contains(item.number)) {
            continue;
        }
        attempt(item, blocked.count(item.service) > 0);
        if (contains(item.number)) {
            blocked.insert(item.service);
        }
    }
}

bool host_queue::has_ahead(std::string_view service,
                           std::uint32_t rank,
                           bool is_excess) const
{
    return std::any_of(
        m_waiting.begin(), m_waiting.end(), [&](waiting_request const& item) {
            return item.service == service
                   && std::tie(item.rank, item.is_excess)
                          <= std::tie(rank, is_excess);
        });
}

bool host_queue::has_service(std::string_view service) const
{
    return std::any_of(
        m_waiting.begin(), m_waiting.end(), [&](waiting_request const& item) {
            return item.service == service;
        });
}

bool host_queue::contains(std::uint64_t number) const
{
    return std::any_of(
        m_waiting.begin(), m_waiting.end(), [&](waiting_request const& item) {
            return item.number == number;
        });
}

std::optional<model::time_point> host_queue::next_end() const
{
    std::optional<model::time_point> earliest;
    for (waiting_request const& item : m_waiting) {
        earliest = std::min(earliest.value_or(item.until), item.until);
    }
    return earliest;
}

} // namespace caperjunction::routing
