#ifndef CAPERJUNCTION_PROXY_PEER_GOSSIP_HPP
#define CAPERJUNCTION_PROXY_PEER_GOSSIP_HPP

#include "proxy/digest_codec.hpp"
#include "proxy/origin_exchange.hpp"
#include "proxy/part_exchange.hpp"
#include "proxy/relay_context.hpp"
#include "routing/digest_queue.hpp"
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

/// Exchanges digests with other hosts over UDP. A lost datagram is compensated
/// by the next one, and a host that hangs blocks no other host.
///
/// Thread safety: none; owned by the loop's task.
class peer_gossip
{
public:
    /// \throws model::error (bad_settings) if the address is not available.
    peer_gossip(relay_context& context, model::endpoint const& listen);
    ~peer_gossip();
    peer_gossip(peer_gossip const&) = delete;
    peer_gossip& operator=(peer_gossip const&) = delete;

    /// Called when the number of live peers has changed: a host appeared,
    /// returned or went silent.
    void on_peers_changed(std::function<void(std::size_t alive)> callback)
    {
        m_on_changed = std::move(callback);
    }

    /// Called when a host reports changes that this host lacks.
    void on_newer_revision(std::function<void()> callback)
    {
        m_on_newer_revision = std::move(callback);
    }

    /// Tells other hosts what this one knows of streams, before it stops.
    void hand_over_origins()
    {
        m_origins.hand_over();
    }

    /// Sends a digest at the end of this loop iteration to the hosts that wait
    /// for this change.
    void broadcast_change();

private:
    struct echo
    {
        model::time_point stamp{};
        /// On the loop's clock: one that is ahead would make the time for which
        /// the stamp was held too long.
        model::time_point received_at{};
    };

    /// What a batch of digests has in common.
    struct batch
    {
        digest_frame frame;
        /// No later than the frame's stamp, on the loop's clock.
        model::time_point stamped_at{};
    };

    void send_digests();
    void schedule_batch(model::milliseconds delay);
    void send_batch();
    /// Returns the bytes that were sent.
    std::size_t send_to(model::endpoint const& to, batch& sent);
    void echo_stamp(model::endpoint const& to, batch& sent) const;
    /// Keeps the sender's stamp, and sets as of when it has confirmed its
    /// configuration.
    void record_stamps(digest_frame& received,
                       model::endpoint const& from,
                       model::time_point now);
    std::optional<model::time_point> sent_at(model::time_point stamp,
                                             model::time_point now) const;
    void send_bytes(model::endpoint const& to, std::string const& bytes);
    void receive();
    void handle_digest(std::string_view bytes, model::endpoint const& from);
    void apply_confirmation(routing::peer_digest const& received,
                            model::time_point now);
    void apply_loads();
    std::vector<routing::peer_load> own_loads() const;
    digest_frame own_frame();

    relay_context& m_context;
    int m_socket = -1;
    event* m_read = nullptr;
    runtime::timer_handle m_timer;
    runtime::timer_handle m_batch_timer;
    std::uint64_t m_generation = 0;
    /// Added to the stamps of this process, so that those of an earlier one at
    /// the same address aren't taken for them.
    std::chrono::seconds m_stamp_offset;
    model::time_point m_started;
    std::uint64_t m_sequence = 0;
    std::minstd_rand m_random;
    std::map<std::string, echo> m_echoes;
    routing::digest_queue m_queue;
    origin_exchange m_origins;
    part_exchange m_parts;
    routing::load_change_detector m_load_changes;
    std::size_t m_alive = 0;
    std::function<void(std::size_t)> m_on_changed;
    std::function<void()> m_on_newer_revision;
};

} // namespace caperjunction::proxy

#endif
