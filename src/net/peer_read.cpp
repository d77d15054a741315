#include "net/peer_read.hpp"

#include <memory>

namespace caperjunction::net::read {
namespace {

fleet::value_revisions revisions(wire::Revisions const* values)
{
    if (values == nullptr) {
        return {};
    }
    return {{values->plans(),
             values->entitlements(),
             values->hosts(),
             values->upstreams()}};
}

fleet::published_value read_published_value(std::uint8_t number)
{
    return enumerator(
        number, fleet::published_value::upstreams, "published value");
}

template <typename Table>
fleet::config_announce read_announcement(Table const& table)
{
    fleet::config_announce announcement;
    announcement.latest = revisions(table.latest());
    announcement.in_force = table.in_force() == nullptr
                                ? announcement.latest
                                : revisions(table.in_force());
    return announcement;
}

std::vector<fleet::membership_update> membership_updates(
    flatbuffers::Vector<flatbuffers::Offset<wire::Rumour>> const* tables)
{
    std::vector<fleet::membership_update> values;
    if (tables == nullptr) {
        return values;
    }
    values.reserve(tables->size());
    for (wire::Rumour const* const table : *tables) {
        values.push_back({text(table->host()),
                          table->generation(),
                          table->round(),
                          enumerator(table->kind(),
                                     fleet::update_kind::leaving,
                                     "kind of membership update")});
    }
    return values;
}

std::vector<fleet::header_field>
fields(flatbuffers::Vector<flatbuffers::Offset<wire::Field>> const* tables)
{
    std::vector<fleet::header_field> values;
    if (tables == nullptr) {
        return values;
    }
    for (wire::Field const* const table : *tables) {
        values.push_back({text(table->name()), text(table->value())});
    }
    return values;
}

fleet::peer_message read_table(wire::Heartbeat const& table)
{
    fleet::heartbeat value;
    value.generation = table.generation();
    value.leaving = table.leaving();
    value.expects_reply = table.expects_reply();
    value.updates_hash = table.rumours_hash();
    value.configuration = read_announcement(table);
    return value;
}

fleet::peer_message read_table(wire::ProbeReply const& table)
{
    fleet::probe_reply value;
    value.number = table.number();
    value.generation = table.generation();
    value.leaving = table.leaving();
    value.configuration = read_announcement(table);
    value.updates = membership_updates(table.rumours());
    return value;
}

fleet::peer_message read_table(wire::Value const& table)
{
    fleet::config_value value;
    value.value = read_published_value(table.value());
    value.revision = table.revision();
    value.hash = table.hash();
    value.base = table.base();
    if (table.body() != nullptr) {
        value.body = std::make_shared<std::string const>(text(table.body()));
    }
    if (table.splices() == nullptr) {
        return value;
    }
    for (wire::Splice const* const change : *table.splices()) {
        value.deltas.push_back({change->revision(),
                                change->offset(),
                                change->removed(),
                                text(change->inserted())});
    }
    return value;
}

fleet::peer_message read_table(wire::HandoverRequest const& table)
{
    fleet::hand_over_request value;
    value.id = {table.id()};
    value.method = text(table.method());
    value.path = text(table.path());
    value.headers = fields(table.headers());
    value.body = text(table.body());
    value.waited =
        model::milliseconds(static_cast<std::int64_t>(table.waited_ms()));
    return value;
}

fleet::peer_message read_table(wire::HandoverEnd const& table)
{
    fleet::hand_over_end value;
    value.id = {table.id()};
    value.result = enumerator(table.result(),
                              fleet::hand_over_result::broken,
                              "result of a hand-over");
    value.outcome =
        enumerator(table.outcome(), model::outcome::unknown, "outcome");
    value.reason = text(table.reason());
    return value;
}

fleet::peer_message read_hand_over(wire::Frame const& frame)
{
    switch (frame.body_type()) {
    case wire::Body::HandoverRequest:
        return read_table(*frame.body_as_HandoverRequest());
    case wire::Body::HandoverChunk: {
        auto const& table = *frame.body_as_HandoverChunk();
        return fleet::hand_over_chunk{{table.id()},
                                      table.status(),
                                      fields(table.headers()),
                                      text(table.bytes())};
    }
    case wire::Body::HandoverEnd:
        return read_table(*frame.body_as_HandoverEnd());
    case wire::Body::HandoverCancel:
        return fleet::hand_over_cancel{{frame.body_as_HandoverCancel()->id()}};
    case wire::Body::OrderWish: {
        auto const& table = *frame.body_as_OrderWish();
        return fleet::order_request{text(table.engine()), text(table.model())};
    }
    default:
        return claim_message(frame);
    }
}

} // namespace

void fail(char const* what)
{
    throw model::error(model::error_kind::bad_request,
                       std::string("a peer sent a frame with a bad ") + what,
                       "run the same version of the program on all hosts");
}

std::string text(flatbuffers::String const* value)
{
    return value == nullptr ? std::string() : value->str();
}

std::string text(flatbuffers::Vector<std::uint8_t> const* value)
{
    if (value == nullptr) {
        return {};
    }
    return {reinterpret_cast<char const*>(value->data()), value->size()};
}

std::vector<std::uint8_t> bytes(flatbuffers::Vector<std::uint8_t> const* value)
{
    if (value == nullptr) {
        return {};
    }
    return {value->begin(), value->end()};
}

fleet::peer_message message(wire::Frame const& frame)
{
    switch (frame.body_type()) {
    case wire::Body::Heartbeat:
        return read_table(*frame.body_as_Heartbeat());
    case wire::Body::Rumours:
        return fleet::membership_updates{
            membership_updates(frame.body_as_Rumours()->rumours())};
    case wire::Body::Probe:
        return fleet::probe{frame.body_as_Probe()->number()};
    case wire::Body::ProbeReply:
        return read_table(*frame.body_as_ProbeReply());
    case wire::Body::Announce:
        return read_announcement(*frame.body_as_Announce());
    case wire::Body::Fetch: {
        auto const& table = *frame.body_as_Fetch();
        return fleet::config_fetch{
            read_published_value(table.value()), table.wanted(), table.held()};
    }
    case wire::Body::Value:
        return read_table(*frame.body_as_Value());
    case wire::Body::Digest: {
        auto const& table = *frame.body_as_Digest();
        return fleet::load_digest{text(table.host()),
                                  table.sequence(),
                                  table.hops_left(),
                                  bytes(table.bytes())};
    }
    default:
        return read_hand_over(frame);
    }
}

} // namespace caperjunction::net::read
