#include "net/relay.hpp"

#include "net/caller_reply.hpp"
#include "runtime/log_line.hpp"

#include <algorithm>

namespace caperjunction::net {

// Without a limit for all of them, a few upstreams that send answers without
// end fill the host's memory, and the requests of all callers end with it. The
// longest answer is broken off, so that others are kept. Returns false if it is
// that of `active`.
bool relay::keep(exchange& active, std::size_t bytes)
{
    active.kept_bytes += bytes;
    m_kept_bytes += bytes;
    bool const is_too_long = active.kept_bytes > m_settings.max_body_bytes;
    if (!is_too_long && m_kept_bytes <= m_settings.max_kept_bytes) {
        return true;
    }
    exchange& longest = is_too_long ? active : longest_kept(active);
    bool const is_other = &longest != &active;
    runtime::log_line("answer_too_long")
        .field("id", to_string(longest.request.id))
        .field("upstream", longest.upstream)
        .field("bytes", longest.kept_bytes)
        .field("all_bytes", m_kept_bytes);
    break_off(longest);
    return is_other;
}

exchange& relay::longest_kept(exchange& among)
{
    exchange* longest = &among;
    for (auto const& [id, other] : m_exchanges) {
        if (other->call && other->kept_bytes > longest->kept_bytes) {
            longest = other.get();
        }
    }
    return *longest;
}

void relay::forget_collected(exchange& active)
{
    std::size_t const bytes =
        std::min(active.collected.size(), active.kept_bytes);
    active.kept_bytes -= bytes;
    m_kept_bytes -= bytes;
    active.collected = {};
}

void relay::break_off(exchange& active)
{
    m_client.cancel(active.call);
    forget_collected(active);
    end_attempt(active.request.id, call_end::broken);
}

} // namespace caperjunction::net
