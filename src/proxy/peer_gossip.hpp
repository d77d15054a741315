#ifndef CAPERJUNCTION_PROXY_PEER_GOSSIP_HPP
#define CAPERJUNCTION_PROXY_PEER_GOSSIP_HPP

#include "proxy/digest_codec.hpp"
#include "proxy/relay_context.hpp"
#include "routing/load_change_detector.hpp"
#include "routing/peer_table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

struct event;

namespace caperjunction::proxy {

/// Exchanges digests with the other hosts, by datagrams: one that is lost is
/// made good by the next, and a host that hangs holds up nobody.
///
/// Thread safety: none; owned by the loop's task.
class peer_gossip
{
public:
    /// \throws model::error (bad_settings) if the address is not to be had.
    peer_gossip(relay_context& context, model::endpoint const& listen);
    ~peer_gossip();
    peer_gossip(peer_gossip const&) = delete;
    peer_gossip& operator=(peer_gossip const&) = delete;

    /// Called when a host is heard first, or again, and when it falls silent.
    void on_peers_changed(std::function<void(std::size_t alive)> call)
    {
        m_on_changed = std::move(call);
    }

    /// Called when a host is heard that has changes which this one lacks.
    void on_newer_revision(std::function<void()> call)
    {
        m_on_heard = std::move(call);
    }

    /// Tells some others at the end of this turn of a change that they wait
    /// for.
    void broadcast_change();

private:
    struct echo
    {
        model::time_point stamp{};
        model::time_point got_at{};
    };

    void tell();
    void tell_all(std::vector<routing::peer_table::recipient> const& audience,
                  digest_frame frame);
    void send_to(model::endpoint const& to, digest_frame& frame);
    void hear();
    void take(std::string_view bytes, model::endpoint const& from);
    void confirm_by(routing::peer_digest const& told, model::time_point now);
    void apply_loads();
    digest_frame own_frame();

    relay_context& m_context;
    int m_socket = -1;
    event* m_read = nullptr;
    runtime::timer_handle m_timer;
    runtime::timer_handle m_change_timer;
    std::uint64_t m_generation = 0;
    std::uint64_t m_sequence = 0;
    std::minstd_rand m_random;
    std::map<std::string, echo> m_echoes;
    routing::load_change_detector m_news;
    std::size_t m_alive = 0;
    std::function<void(std::size_t)> m_on_changed;
    std::function<void()> m_on_heard;
};

} // namespace caperjunction::proxy

#endif
