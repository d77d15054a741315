#include "proxy/digest_codec.hpp"

#include "proxy/digest_structs.hpp"
#include "proxy/digest_times.hpp"
#include "proxy/wire_buffer.hpp"
#include "routing/carried_readings.hpp"

#include <algorithm>

namespace caperjunction::proxy {
namespace {

using load_list = flatbuffers::Vector<wire::Work const*>;
using reading_list = flatbuffers::Vector<wire::Reading const*>;
using demand_list = flatbuffers::Vector<wire::Demand const*>;

// Hosts of earlier versions send no readings.
std::vector<routing::peer_load> read_loads(load_list const* from,
                                           reading_list const* readings)
{
    std::vector<routing::peer_load> loads;
    if (from == nullptr) {
        return loads;
    }
    for (wire::Work const* const item : *from) {
        loads.push_back(from_wire(*item));
    }
    if (readings != nullptr && readings->size() == from->size()) {
        for (flatbuffers::uoffset_t at = 0; at < readings->size(); ++at) {
            read_reading(*readings->Get(at), loads[at]);
        }
    }
    return loads;
}

std::vector<routing::team_demand> read_demands(demand_list const* from)
{
    std::vector<routing::team_demand> demands;
    if (from != nullptr) {
        for (wire::Demand const* const item : *from) {
            demands.push_back(from_wire(*item));
        }
    }
    return demands;
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

/// The loads of a digest, by whose they are.
struct load_lists
{
    flatbuffers::Offset<load_list> works;
    flatbuffers::Offset<load_list> aggregated;
    flatbuffers::Offset<load_list> remote;
    flatbuffers::Offset<reading_list> readings;
    flatbuffers::Offset<reading_list> aggregated_readings;
    flatbuffers::Offset<reading_list> remote_readings;
    flatbuffers::Offset<demand_list> demands;
    flatbuffers::Offset<demand_list> aggregated_demands;
    flatbuffers::Offset<demand_list> remote_demands;
};

// Measurements are optional: without any, the list is left out.
flatbuffers::Offset<reading_list>
write_readings(flatbuffers::FlatBufferBuilder& builder,
               std::uint64_t sequence,
               std::vector<routing::peer_load> const& from)
{
    bool const is_told =
        routing::carries_readings(sequence)
        && std::any_of(from.begin(), from.end(), routing::has_readings);
    if (!is_told) {
        return {};
    }
    std::vector<wire::Reading> list;
    list.reserve(from.size());
    for (routing::peer_load const& item : from) {
        list.push_back(reading_to_wire(item));
    }
    return builder.CreateVectorOfStructs(list);
}

load_lists write_loads(flatbuffers::FlatBufferBuilder& builder,
                       routing::peer_digest const& from)
{
    load_lists lists;
    lists.works = struct_list<wire::Work>(builder, from.loads);
    lists.aggregated = struct_list<wire::Work>(builder, from.aggregated_loads);
    lists.remote = struct_list<wire::Work>(builder, from.remote_loads);
    lists.readings = write_readings(builder, from.sequence, from.loads);
    lists.aggregated_readings =
        write_readings(builder, from.sequence, from.aggregated_loads);
    lists.remote_readings =
        write_readings(builder, from.sequence, from.remote_loads);
    lists.demands = struct_list<wire::Demand>(builder, from.demands);
    lists.aggregated_demands =
        struct_list<wire::Demand>(builder, from.aggregated_demands);
    lists.remote_demands =
        struct_list<wire::Demand>(builder, from.remote_demands);
    return lists;
}

void add_loads(wire::DigestBuilder& to, load_lists const& lists)
{
    to.add_works(lists.works);
    to.add_work_sums(lists.aggregated);
    to.add_works_beyond(lists.remote);
    to.add_readings(lists.readings);
    to.add_reading_sums(lists.aggregated_readings);
    to.add_readings_beyond(lists.remote_readings);
    to.add_demands(lists.demands);
    to.add_demand_sums(lists.aggregated_demands);
    to.add_demands_beyond(lists.remote_demands);
}

void read_loads(wire::Digest const& from, routing::peer_digest& to)
{
    to.loads = read_loads(from.works(), from.readings());
    to.aggregated_loads = read_loads(from.work_sums(), from.reading_sums());
    to.remote_loads = read_loads(from.works_beyond(), from.readings_beyond());
    to.demands = read_demands(from.demands());
    to.aggregated_demands = read_demands(from.demand_sums());
    to.remote_demands = read_demands(from.demands_beyond());
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
    auto const loads = write_loads(builder, from);
    wire::DigestBuilder result(builder);
    result.add_generation(from.generation);
    result.add_sequence(from.sequence);
    result.add_stamp(micros_of(frame.stamp));
    if (frame.echoed) {
        result.add_echoed_stamp(micros_of(*frame.echoed));
        result.add_echo_held_us(clamp_micros(frame.echo_held));
    }
    if (frame.confirmed_age) {
        result.add_has_confirmed(true);
        result.add_confirmed_age_us(
            static_cast<std::uint64_t>(frame.confirmed_age->count()));
    }
    result.add_hosts_seen(from.hosts_seen);
    add_loads(result, loads);
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
    // A longer one is that of a clock that went back.
    if (from->has_confirmed()
        && from->confirmed_age_us() <= max_digest_micros) {
        frame.confirmed_age =
            std::chrono::microseconds(from->confirmed_age_us());
    }
    digest.data_centre = from->data_centre();
    digest.is_aggregator = from->speaks();
    digest.tunnel_port = from->tunnel_port();
    read_loads(*from, digest);
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
