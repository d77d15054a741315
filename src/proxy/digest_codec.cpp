#include "proxy/digest_codec.hpp"

#include "proxy/wire/digest_generated.h"
#include "proxy/wire_buffer.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <limits>

namespace caperjunction::proxy {
namespace {

std::uint64_t micros_of(model::time_point time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            time.time_since_epoch())
            .count());
}

model::time_point time_of(std::uint64_t micros)
{
    return model::time_point(std::chrono::microseconds(micros));
}

wire::Neighbour to_wire(routing::neighbour const& from)
{
    in_addr address{};
    inet_pton(AF_INET, from.at.address.c_str(), &address);
    return {
        from.data_centre, ntohl(address.s_addr), from.at.port, from.is_gateway};
}

routing::neighbour from_wire(wire::Neighbour const& from)
{
    in_addr address{};
    address.s_addr = htonl(from.ip());
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address, text, sizeof text);
    return {{text, from.port()}, from.data_centre(), from.relays()};
}

constexpr double parts_a_second = 1'000.0;
constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();

wire::Limit to_wire(routing::advertised_limit const& from)
{
    std::uint32_t parts = no_limit;
    if (from.requests_per_second) {
        parts = static_cast<std::uint32_t>(std::min(
            *from.requests_per_second * parts_a_second, no_limit - 1.0));
    }
    auto const age = std::clamp<std::int64_t>(from.age.count(), 0, no_limit);
    return {from.upstream, parts, static_cast<std::uint32_t>(age)};
}

routing::advertised_limit from_wire(wire::Limit const& from)
{
    routing::advertised_limit made;
    made.upstream = from.upstream();
    made.age = model::milliseconds(from.age_ms());
    if (from.millis_a_second() != no_limit) {
        made.requests_per_second = from.millis_a_second() / parts_a_second;
    }
    return made;
}

using load_list = flatbuffers::Vector<wire::Work const*>;

/// Parts of a whole slowness in a message.
constexpr double slowness_parts = 64.0;

std::uint16_t bounded(double value)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, most));
}

wire::Work to_wire(routing::peer_load const& from)
{
    double const slowness =
        from.performance.observers == 0
            ? 0.0
            : std::max(1.0, from.performance.slowdown * slowness_parts);
    return {from.upstream,
            static_cast<std::uint32_t>(from.load.pending_prefill_tokens),
            bounded(from.load.running),
            bounded(from.load.urgent),
            bounded(slowness),
            bounded(static_cast<double>(from.performance.longest_gap.count()))};
}

routing::peer_load from_wire(wire::Work const& from)
{
    routing::peer_load made;
    made.upstream = from.upstream();
    made.load = {from.running(), from.unread_tokens(), from.urgent()};
    made.performance.observers = from.slowness() == 0 ? 0 : 1;
    made.performance.slowdown = made.performance.observers == 0
                                    ? 1.0
                                    : from.slowness() / slowness_parts;
    made.performance.longest_gap = model::milliseconds(from.pause_ms());
    return made;
}

flatbuffers::Offset<load_list>
to_wire(flatbuffers::FlatBufferBuilder& builder,
        std::vector<routing::peer_load> const& from)
{
    std::vector<wire::Work> loads;
    loads.reserve(from.size());
    for (routing::peer_load const& item : from) {
        loads.push_back(to_wire(item));
    }
    return builder.CreateVectorOfStructs(loads);
}

std::vector<routing::peer_load> from_wire(load_list const* from)
{
    std::vector<routing::peer_load> loads;
    if (from != nullptr) {
        for (wire::Work const* const item : *from) {
            loads.push_back(from_wire(*item));
        }
    }
    return loads;
}

} // namespace

std::string encode_digest(digest_frame const& frame)
{
    routing::peer_digest const& from = frame.digest;
    std::vector<wire::Suspect> suspects;
    for (routing::crash_suspect const& item : from.suspects) {
        suspects.emplace_back(item.fingerprint, item.crashes);
    }
    std::vector<wire::Neighbour> neighbours;
    for (routing::neighbour const& item : from.neighbours) {
        neighbours.push_back(to_wire(item));
    }
    std::vector<wire::Limit> limits;
    for (routing::advertised_limit const& item : from.limits) {
        limits.push_back(to_wire(item));
    }
    flatbuffers::FlatBufferBuilder builder;
    auto const limit_list = builder.CreateVectorOfStructs(limits);
    auto const load_list = to_wire(builder, from.loads);
    auto const sum_list = to_wire(builder, from.aggregated_loads);
    auto const beyond_list = to_wire(builder, from.remote_loads);
    auto const suspect_list = builder.CreateVectorOfStructs(suspects);
    auto const neighbour_list = builder.CreateVectorOfStructs(neighbours);
    wire::DigestBuilder made(builder);
    made.add_generation(from.generation);
    made.add_sequence(from.sequence);
    made.add_stamp(micros_of(frame.stamp));
    if (frame.echoed) {
        made.add_echoed_stamp(micros_of(*frame.echoed));
        made.add_echo_held_us(
            static_cast<std::uint32_t>(frame.echo_held.count()));
    }

    if (frame.confirmed_age) {
        made.add_has_confirmed(true);
        made.add_confirmed_age_us(
            static_cast<std::uint64_t>(frame.confirmed_age->count()));
    }
    made.add_hosts_seen(from.hosts_seen);
    made.add_works(load_list);
    made.add_suspects(suspect_list);
    made.add_neighbours(neighbour_list);
    made.add_hosts_here(from.hosts_in_data_centre);
    made.add_hosts_alive(from.hosts_alive);
    made.add_centres(from.data_centres);
    made.add_relays(from.is_gateway);
    made.add_asks(from.requests_reply);
    // Earlier versions take it for all changes, and confirm keys by it.
    made.add_revision(std::max({from.revisions.upstreams,
                                from.revisions.configuration,
                                from.revisions.checked}));
    made.add_upstreams_revision(from.revisions.upstreams);
    made.add_configuration_revision(from.revisions.configuration);
    made.add_configuration_checked(from.revisions.checked);
    made.add_data_centre(from.data_centre);
    made.add_speaks(from.is_aggregator);
    made.add_limits(limit_list);
    made.add_work_sums(sum_list);
    made.add_works_beyond(beyond_list);
    builder.Finish(made.Finish());
    return text_of(builder);
}

std::optional<digest_frame> decode_digest(std::string_view bytes)
{
    auto const* const from = verified<wire::Digest>(bytes);
    if (from == nullptr) {
        return std::nullopt;
    }
    digest_frame frame;
    routing::peer_digest& digest = frame.digest;
    digest.generation = from->generation();
    digest.sequence = from->sequence();

    digest.hosts_seen = from->hosts_seen();
    digest.revisions = {from->upstreams_revision(),
                        from->configuration_revision(),
                        from->configuration_checked()};
    if (digest.revisions == routing::store_revisions{}) {
        digest.revisions.upstreams = from->revision();
    }
    frame.stamp = time_of(from->stamp());
    if (from->echoed_stamp() != 0) {
        frame.echoed = time_of(from->echoed_stamp());
        frame.echo_held = std::chrono::microseconds(from->echo_held_us());
    }
    if (from->has_confirmed()) {
        frame.confirmed_age =
            std::chrono::microseconds(from->confirmed_age_us());
    }
    digest.data_centre = from->data_centre();
    digest.is_aggregator = from->speaks();
    digest.loads = from_wire(from->works());
    digest.aggregated_loads = from_wire(from->work_sums());
    digest.remote_loads = from_wire(from->works_beyond());
    if (from->suspects() != nullptr) {
        for (wire::Suspect const* const item : *from->suspects()) {
            digest.suspects.push_back({item->fingerprint(), item->crashes()});
        }
    }
    if (from->limits() != nullptr) {
        for (wire::Limit const* const item : *from->limits()) {
            digest.limits.push_back(from_wire(*item));
        }
    }
    digest.hosts_in_data_centre = from->hosts_here();
    digest.hosts_alive = from->hosts_alive();
    digest.data_centres = from->centres();
    digest.is_gateway = from->relays();
    digest.requests_reply = from->asks();
    if (from->neighbours() != nullptr) {
        for (wire::Neighbour const* const item : *from->neighbours()) {
            digest.neighbours.push_back(from_wire(*item));
        }
    }
    return frame;
}

} // namespace caperjunction::proxy
