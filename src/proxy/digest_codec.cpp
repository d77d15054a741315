#include "proxy/digest_codec.hpp"

#include "proxy/digest_structs.hpp"
#include "proxy/wire_buffer.hpp"

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

using load_list = flatbuffers::Vector<wire::Work const*>;

std::vector<routing::peer_load> read_loads(load_list const* from)
{
    std::vector<routing::peer_load> loads;
    if (from != nullptr) {
        for (wire::Work const* const item : *from) {
            loads.push_back(from_wire(*item));
        }
    }
    return loads;
}

template <typename Wire, typename Item>
flatbuffers::Offset<flatbuffers::Vector<Wire const*>>
struct_list(flatbuffers::FlatBufferBuilder& builder,
            std::vector<Item> const& from)
{
    std::vector<Wire> list;
    list.reserve(from.size());
    for (Item const& item : from) {
        list.push_back(to_wire(item));
    }
    return builder.CreateVectorOfStructs(list);
}

/// The lists of a digest about single upstreams.
struct notice_lists
{
    flatbuffers::Offset<flatbuffers::Vector<wire::Limit const*>> limits;
    flatbuffers::Offset<flatbuffers::Vector<wire::Pause const*>> pauses;
    flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> leaving;
    flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>> lost_links;
};

notice_lists write_notices(flatbuffers::FlatBufferBuilder& builder,
                           routing::peer_digest const& from)
{
    notice_lists lists;
    lists.limits = struct_list<wire::Limit>(builder, from.limits);
    lists.pauses = struct_list<wire::Pause>(builder, from.pauses);
    lists.leaving = builder.CreateVector(from.leaving);
    lists.lost_links = builder.CreateVector(from.lost_links);
    return lists;
}

void add_notices(wire::DigestBuilder& to, notice_lists const& lists)
{
    to.add_limits(lists.limits);
    to.add_pauses(lists.pauses);
    to.add_leaving(lists.leaving);
    to.add_lost_links(lists.lost_links);
}

void read_notices(wire::Digest const& from, routing::peer_digest& to)
{
    if (from.limits() != nullptr) {
        for (wire::Limit const* const item : *from.limits()) {
            to.limits.push_back(from_wire(*item));
        }
    }
    if (from.pauses() != nullptr) {
        for (wire::Pause const* const item : *from.pauses()) {
            to.pauses.push_back(from_wire(*item));
        }
    }
    if (from.leaving() != nullptr) {
        to.leaving.assign(from.leaving()->begin(), from.leaving()->end());
    }
    if (from.lost_links() != nullptr) {
        to.lost_links.assign(from.lost_links()->begin(),
                             from.lost_links()->end());
    }
}

} // namespace

std::string encode_digest(digest_frame const& frame)
{
    routing::peer_digest const& from = frame.digest;
    flatbuffers::FlatBufferBuilder builder;
    auto const notices = write_notices(builder, from);
    auto const neighbour_list =
        struct_list<wire::Neighbour>(builder, from.neighbours);
    auto const load_list = struct_list<wire::Work>(builder, from.loads);
    auto const aggregated_list =
        struct_list<wire::Work>(builder, from.aggregated_loads);
    auto const remote_list =
        struct_list<wire::Work>(builder, from.remote_loads);
    wire::DigestBuilder result(builder);
    result.add_generation(from.generation);
    result.add_sequence(from.sequence);
    result.add_stamp(micros_of(frame.stamp));
    if (frame.echoed) {
        result.add_echoed_stamp(micros_of(*frame.echoed));
        result.add_echo_held_us(
            static_cast<std::uint32_t>(frame.echo_held.count()));
    }
    if (frame.confirmed_age) {
        result.add_has_confirmed(true);
        result.add_confirmed_age_us(
            static_cast<std::uint64_t>(frame.confirmed_age->count()));
    }
    result.add_hosts_seen(from.hosts_seen);
    result.add_works(load_list);
    add_notices(result, notices);
    result.add_neighbours(neighbour_list);
    result.add_hosts_here(from.hosts_in_data_centre);
    result.add_hosts_alive(from.hosts_alive);
    result.add_centres(from.data_centres);
    result.add_relays(from.is_gateway);
    result.add_asks(from.requests_reply);
    // Hosts of earlier versions use this field as the revision of all changes,
    // and confirm keys by it.
    routing::store_revisions const& known = from.revisions;
    result.add_revision(std::max({known.upstreams.revision,
                                  known.configuration_revision,
                                  known.checked.revision}));
    result.add_upstreams_revision(known.upstreams.revision);
    result.add_upstreams_era(known.upstreams.era);
    result.add_configuration_revision(known.configuration_revision);
    result.add_configuration_version(known.configuration);
    result.add_configuration_checked(known.checked.revision);
    result.add_checked_era(known.checked.era);
    result.add_data_centre(from.data_centre);
    result.add_speaks(from.is_aggregator);
    result.add_tunnel_port(from.tunnel_port);
    result.add_work_sums(aggregated_list);
    result.add_works_beyond(remote_list);
    builder.Finish(result.Finish());
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
    digest.revisions.upstreams = {from->upstreams_revision(),
                                  from->upstreams_era()};
    digest.revisions.configuration = from->configuration_version();
    digest.revisions.configuration_revision = from->configuration_revision();
    digest.revisions.checked = {from->configuration_checked(),
                                from->checked_era()};
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
    digest.tunnel_port = from->tunnel_port();
    digest.loads = read_loads(from->works());
    digest.aggregated_loads = read_loads(from->work_sums());
    digest.remote_loads = read_loads(from->works_beyond());
    read_notices(*from, digest);
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
