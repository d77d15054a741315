#include "proxy/peer_gossip.hpp"

#include "model/error.hpp"
#include "proxy/cold_upstreams.hpp"
#include "proxy/leaving_notices.hpp"
#include "proxy/limit_notices.hpp"
#include "proxy/pause_requests.hpp"
#include "proxy/rank_load_updates.hpp"
#include "proxy/rejection_limits.hpp"
#include "proxy/socket_address.hpp"
#include "proxy/team_share_updates.hpp"
#include "proxy/upstream_paths.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr std::size_t max_datagram = 65'536;

/// Some 34 years: the stamps of an earlier process hardly ever fall into the
/// time of this one.
constexpr std::chrono::seconds max_stamp_offset{1U << 30U};

} // namespace

peer_gossip::peer_gossip(relay_context& context, model::endpoint const& listen)
    : m_context(context)
    , m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_generation(std::random_device{}())
    , m_stamp_offset(m_generation % max_stamp_offset.count())
    , m_started(context.lease_now())
    , m_random(static_cast<std::minstd_rand::result_type>(m_generation))
    , m_origins(context,
                [this](model::endpoint const& to, std::string const& bytes) {
                    send_bytes(to, bytes);
                })
    , m_parts(context,
              [this](model::endpoint const& to, std::string const& bytes) {
                  send_bytes(to, bytes);
              })
{
    sockaddr_in const address = listen_address(listen, "peer_listen");
    if (m_socket < 0
        || bind(m_socket,
                reinterpret_cast<sockaddr const*>(&address),
                sizeof address)
               != 0) {
        throw model::error(
            model::error_kind::bad_settings,
            fmt::format("cannot receive from peers on {}:{}",
                        listen.address,
                        listen.port),
            "free that port or choose another with --peer_listen");
    }
    m_read = event_new(
        context.loop.base(),
        m_socket,
        EV_READ | EV_PERSIST,
        [](int, short, void* self) {
            static_cast<peer_gossip*>(self)->receive();
        },
        this);
    event_add(m_read, nullptr);
    m_timer = context.loop.after(model::milliseconds{0}, [this] {
        send_digests();
    });
}

peer_gossip::~peer_gossip()
{
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_batch_timer);
    event_free(m_read);
    close(m_socket);
}

void peer_gossip::broadcast_change()
{
    // If all hosts watch the store themselves, they need no notification.
    if (m_context.peers.alive()
        < routing::peer_table::min_peers_of_large_fleet) {
        return;
    }
    bool const is_idle = m_queue.is_empty();
    m_queue.add(m_context.peers.recipients_of_change(
        m_context.loop.now(), m_context.known, m_random()));
    if (is_idle) {
        schedule_batch(model::milliseconds{0});
    }
}

void peer_gossip::send_digests()
{
    routing::peer_table& peers = m_context.peers;
    auto const now = m_context.loop.now();
    peers.forget_silent(now);
    auto const loads = peers.loads_for_remote(own_loads());
    bool const has_change = m_load_changes.has_significant_change(loads, now);
    m_queue.add(peers.recipients(now, m_context.known, has_change));
    if (has_change) {
        m_load_changes.record_advertised(loads, now);
    }
    send_batch();
    apply_loads();
    m_parts.sweep();
    m_timer = m_context.loop.after(peers.digest_period(), [this] {
        send_digests();
    });
}

void peer_gossip::schedule_batch(model::milliseconds delay)
{
    m_context.loop.cancel(m_batch_timer);
    m_batch_timer = m_context.loop.after(delay, [this] {
        send_batch();
    });
}

// Each batch states the revisions and the confirmation of its own time. With
// those of an earlier batch, a confirmation could be attributed to a revision
// that it doesn't cover.
void peer_gossip::send_batch()
{
    m_context.loop.cancel(m_batch_timer);
    batch sent;
    sent.stamped_at = m_context.loop.now();
    sent.frame = own_frame();
    routing::digest_set digests =
        m_context.peers.make_digests(std::move(sent.frame.digest));
    bound_demands(m_context, digests);
    m_queue.send_batch([&](routing::peer_table::recipient const& to) {
        routing::peer_digest& digest = sent.frame.digest;
        digest = digests.of(to.kind);
        digest.requests_reply = to.requests_reply;
        digest.neighbours = m_context.peers.neighbours_for(
            to.at, to.max_neighbours, m_random());
        return send_to(to.at, sent);
    });
    if (!m_queue.is_empty()) {
        schedule_batch(routing::digest_queue::batch_interval);
    }
}

std::size_t peer_gossip::send_to(model::endpoint const& to, batch& sent)
{
    echo_stamp(to, sent);
    std::string const bytes = encode_digest(sent.frame);
    send_bytes(to, bytes);
    return bytes.size();
}

// A digest that could not be sent is compensated by the next one.
void peer_gossip::send_bytes(model::endpoint const& to,
                             std::string const& bytes)
{
    auto const address = ipv4_address(to);
    if (!address) {
        return;
    }
    sendto(m_socket,
           bytes.data(),
           bytes.size(),
           0,
           reinterpret_cast<sockaddr const*>(&*address),
           sizeof *address);
}

void peer_gossip::receive()
{
    static std::array<char, max_datagram> s_bytes;
    for (;;) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        ssize_t const size_received =
            recvfrom(m_socket,
                     s_bytes.data(),
                     s_bytes.size(),
                     0,
                     reinterpret_cast<sockaddr*>(&from),
                     &size);
        if (size_received < 0) {
            return;
        }
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        handle_digest({s_bytes.data(), static_cast<std::size_t>(size_received)},
                      {text, ntohs(from.sin_port)});
    }
}

void peer_gossip::handle_digest(std::string_view bytes,
                                model::endpoint const& from)
{
    if (is_origin_message(bytes)) {
        m_origins.receive(bytes, from);
        return;
    }
    if (is_part_message(bytes)) {
        m_parts.receive(bytes, from);
        return;
    }
    auto frame = decode_digest(bytes);
    if (!frame) {
        return;
    }
    auto const now = m_context.lease_now();
    record_stamps(*frame, from, now);
    apply_confirmation(frame->digest, now);
    m_context.peers.record_digest(from, frame->digest, m_context.loop.now());
    routing::store_revisions const& received = frame->digest.revisions;
    bool const knows_more =
        received.has_newer(routing::list_kind::upstreams, m_context.known)
        || received.has_newer(routing::list_kind::configuration,
                              m_context.known);
    if (m_on_newer_revision && knows_more) {
        m_on_newer_revision();
    }
}

void peer_gossip::apply_loads()
{
    m_context.peers.aggregate();
    m_context.directory.each([this](routing::upstream_state& state) {
        auto const received = m_context.peers.load_of(
            routing::upstream_load_key(state.description.id));
        state.others = received.load;
        state.others_performance = received.performance;
        state.others_readings = received.readings;
    });
    m_context.directory.update_capacities(m_context.loop.now(),
                                          m_context.settings.speed_classes,
                                          m_context.on_speed_changed);
    m_context.urgent_demand.update(m_context.directory,
                                   m_context.peers,
                                   m_context.settings.reserve_by_work,
                                   m_context.loop.now());
    update_rank_loads(m_context);
    update_team_shares(m_context);
    apply_advertised_leaving(m_context);
    apply_peer_pauses(m_context);
    apply_advertised_limits(m_context);
    apply_cold_limits(m_context);
    apply_rejection_limits(m_context);
    if (m_alive != m_context.peers.alive()) {
        m_alive = m_context.peers.alive();
        if (m_on_changed) {
            m_on_changed(m_alive);
        }
    }
}

} // namespace caperjunction::proxy
