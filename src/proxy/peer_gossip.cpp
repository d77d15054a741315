#include "proxy/peer_gossip.hpp"

#include "model/error.hpp"
#include "proxy/limit_notices.hpp"

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

/// How often a small fleet's hosts tell each other: a prompt is read in some
/// 100 ms, and loads that are older mislead.
constexpr model::milliseconds shortest_period{100};
/// A host hears at most about this many datagrams a second with loads, some
/// thousandths of a core.
constexpr double most_heard_a_second = 60.0;

constexpr std::size_t largest_datagram = 65'536;
constexpr std::size_t most_suspects = 32;
constexpr std::size_t most_neighbours_told = 16;

sockaddr_in to_socket(model::endpoint const& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace

peer_gossip::peer_gossip(relay_context& context, model::endpoint const& listen)
    : m_context(context)
    , m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_generation(std::random_device{}())
    , m_random(static_cast<std::minstd_rand::result_type>(m_generation))
{
    sockaddr_in const address = to_socket(listen);
    if (m_socket < 0
        || bind(m_socket,
                reinterpret_cast<sockaddr const*>(&address),
                sizeof address)
               != 0) {
        throw model::error(
            model::error_kind::bad_settings,
            fmt::format(
                "cannot hear peers on {}:{}", listen.address, listen.port),
            "free that port or choose another with --peer_listen");
    }
    m_read = event_new(
        context.loop.base(),
        m_socket,
        EV_READ | EV_PERSIST,
        [](int, short, void* self) {
            static_cast<peer_gossip*>(self)->hear();
        },
        this);
    event_add(m_read, nullptr);
    m_timer = context.loop.after(shortest_period, [this] {
        tell();
    });
}

peer_gossip::~peer_gossip()
{
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_change_timer);
    event_free(m_read);
    close(m_socket);
}

digest_frame peer_gossip::own_frame()
{
    digest_frame frame;
    routing::peer_digest& digest = frame.digest;
    digest.generation = m_generation;
    digest.sequence = ++m_sequence;
    digest.revisions = m_context.known;
    digest.data_centre = m_context.settings.data_centre;
    auto const now = m_context.loop.now();
    m_context.directory.each([&](routing::upstream_state const& state) {
        routing::upstream_performance const pace =
            state.own_performance.performance(now);
        if (state.own.running > 0 || pace.observers > 0) {
            digest.loads.push_back(
                {routing::upstream_load_key(state.description.id),
                 state.own,
                 pace});
        }
    });
    for (auto const& [service, count] : m_context.urgent_streams) {
        if (count > 0) {
            digest.loads.push_back(
                {routing::urgent_load_key(service), {count, 0, 0}, {}});
        }
    }
    digest.limits = limits_to_advertise(m_context);
    digest.suspects = m_context.suspects.suspects_to_send(most_suspects,
                                                          m_context.loop.now());
    frame.stamp = m_context.boot_now();
    if (auto const as_of = m_context.keys.as_of()) {
        frame.confirmed_age =
            std::chrono::duration_cast<std::chrono::microseconds>(frame.stamp
                                                                  - *as_of);
    }
    return frame;
}

void peer_gossip::broadcast_change()
{
    // Hosts that all watch for themselves need no word of it.
    if (m_context.peers.alive()
        < routing::peer_table::min_peers_of_large_fleet) {
        return;
    }
    m_context.loop.cancel(m_change_timer);
    m_change_timer = m_context.loop.after(model::milliseconds{0}, [this] {
        tell_all(m_context.peers.recipients_of_change(
                     m_context.loop.now(), m_context.known, m_random()),
                 own_frame());
    });
}

void peer_gossip::tell()
{
    routing::peer_table& peers = m_context.peers;
    auto const now = m_context.loop.now();
    peers.forget_silent(now);
    digest_frame const frame = own_frame();
    bool const is_news = m_news.has_significant_change(frame.digest.loads, now);
    auto const audience = peers.recipients(now, m_context.known, is_news);
    if (is_news) {
        m_news.record_advertised(frame.digest.loads, now);
    }
    tell_all(audience, frame);
    apply_loads();
    model::milliseconds const by_size{static_cast<std::int64_t>(
        1'000.0 * static_cast<double>(peers.near_count())
        / most_heard_a_second)};
    m_timer = m_context.loop.after(std::max(shortest_period, by_size), [this] {
        tell();
    });
}

void peer_gossip::tell_all(
    std::vector<routing::peer_table::recipient> const& audience,
    digest_frame frame)
{
    routing::digest_set const news =
        m_context.peers.make_digests(std::move(frame.digest));
    for (auto const& to : audience) {
        frame.digest = news.of(to.kind);
        frame.digest.requests_reply = to.requests_reply;
        if (to.wants_neighbours) {
            frame.digest.neighbours = m_context.peers.neighbours_for(
                to.at, most_neighbours_told, m_random());
        }
        send_to(to.at, frame);
    }
}

void peer_gossip::send_to(model::endpoint const& to, digest_frame& frame)
{
    auto const heard = m_echoes.find(fmt::format("{}:{}", to.address, to.port));
    if (heard != m_echoes.end()) {
        frame.echoed = heard->second.stamp;
        frame.echo_held = std::chrono::duration_cast<std::chrono::microseconds>(
            frame.stamp - heard->second.got_at);
    }
    std::string const bytes = encode_digest(frame);
    sockaddr_in const address = to_socket(to);
    // What doesn't go out is made good by the next.
    sendto(m_socket,
           bytes.data(),
           bytes.size(),
           0,
           reinterpret_cast<sockaddr const*>(&address),
           sizeof address);
}

void peer_gossip::hear()
{
    static std::array<char, largest_datagram> s_bytes;
    for (;;) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        ssize_t const got = recvfrom(m_socket,
                                     s_bytes.data(),
                                     s_bytes.size(),
                                     0,
                                     reinterpret_cast<sockaddr*>(&from),
                                     &size);
        if (got < 0) {
            return;
        }
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        take({s_bytes.data(), static_cast<std::size_t>(got)},
             {text, ntohs(from.sin_port)});
    }
}

void peer_gossip::take(std::string_view bytes, model::endpoint const& from)
{
    auto frame = decode_digest(bytes);
    if (!frame) {
        return;
    }
    auto const now = m_context.boot_now();
    m_echoes[fmt::format("{}:{}", from.address, from.port)] = {frame->stamp,
                                                               now};
    // The sender had our stamp for `echo_held` when it said how old its
    // belief was: that moment is no earlier than the stamp and that time.
    if (frame->echoed && frame->confirmed_age && *frame->echoed <= now) {
        frame->digest.confirmed_at =
            *frame->echoed + frame->echo_held - *frame->confirmed_age;
    }
    confirm_by(frame->digest, now);
    m_context.peers.record_digest(from, frame->digest, m_context.loop.now());
    routing::store_revisions const& told = frame->digest.revisions;
    bool const knows_more =
        told.upstreams > m_context.known.upstreams
        || told.configuration > m_context.known.configuration;
    if (m_on_heard && knows_more) {
        m_on_heard();
    }
}

void peer_gossip::confirm_by(routing::peer_digest const& told,
                             model::time_point now)
{
    routing::store_revisions& known = m_context.known;
    if (!known.covers_configuration(told.revisions)) {
        return;
    }
    known.checked = std::max(known.checked, told.revisions.checked);
    if (told.confirmed_at) {
        m_context.keys.renew(std::min(*told.confirmed_at, now));
    }
}

void peer_gossip::apply_loads()
{
    m_context.peers.aggregate();
    m_context.directory.each([this](routing::upstream_state& state) {
        auto const told = m_context.peers.load_of(
            routing::upstream_load_key(state.description.id));
        state.others = told.load;
        state.others_performance = told.performance;
    });
    apply_advertised_limits(m_context);
    if (m_alive != m_context.peers.alive()) {
        m_alive = m_context.peers.alive();
        if (m_on_changed) {
            m_on_changed(m_alive);
        }
    }
}

} // namespace caperjunction::proxy
