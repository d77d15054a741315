#include "proxy/peer_gossip.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace caperjunction::proxy {

void peer_gossip::echo_stamp(model::endpoint const& to, batch& sent) const
{
    digest_frame& frame = sent.frame;
    frame.echoed.reset();
    auto const last_echo =
        m_echoes.find(fmt::format("{}:{}", to.address, to.port));
    if (last_echo != m_echoes.end()) {
        frame.echoed = last_echo->second.stamp;
        frame.echo_held = std::chrono::duration_cast<std::chrono::microseconds>(
            sent.stamped_at - last_echo->second.received_at);
    }
}

void peer_gossip::record_stamps(digest_frame& received,
                                model::endpoint const& from,
                                model::time_point now)
{
    m_echoes[fmt::format("{}:{}", from.address, from.port)] = {
        received.stamp, m_context.loop.now()};
    // The sender had held our stamp for `echo_held` when it stated the age of
    // its confirmation. That moment is therefore no earlier than the stamp plus
    // `echo_held`.
    auto const sent =
        received.echoed ? sent_at(*received.echoed, now) : std::nullopt;
    if (sent && received.confirmed_age) {
        received.digest.confirmed_at =
            *sent + received.echo_held - *received.confirmed_age;
    }
}

// Returns when this process sent `stamp`; std::nullopt if it didn't.
std::optional<model::time_point>
peer_gossip::sent_at(model::time_point stamp, model::time_point now) const
{
    auto const at = stamp - m_stamp_offset;
    bool const is_own = m_started <= at && at <= now;
    return is_own ? std::optional(at) : std::nullopt;
}

void peer_gossip::apply_confirmation(routing::peer_digest const& received,
                                     model::time_point now)
{
    routing::store_revisions& known = m_context.known;
    if (!known.covers_configuration(received.revisions)) {
        return;
    }
    known.checked = std::max(known.checked, received.revisions.checked);
    if (received.confirmed_at) {
        m_context.keys.renew(std::min(*received.confirmed_at, now));
    }
}

} // namespace caperjunction::proxy
