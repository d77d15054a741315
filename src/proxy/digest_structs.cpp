#include "proxy/digest_structs.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <limits>

namespace caperjunction::proxy {
namespace {

std::uint32_t ip_of(model::endpoint const& at)
{
    in_addr address{};
    inet_pton(AF_INET, at.address.c_str(), &address);
    return ntohl(address.s_addr);
}

model::endpoint endpoint_of(std::uint32_t ip, std::uint16_t port)
{
    in_addr address{};
    address.s_addr = htonl(ip);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address, text, sizeof text);
    return {text, port};
}

constexpr double limit_scale = 1'000.0;
constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();

/// Units per 1.0 of a slowdown factor in a message.
constexpr double slowdown_scale = 64.0;

/// Tokens per unit of a reading.
constexpr double reading_tokens = 64.0;

std::uint16_t bounded(double value)
{
    constexpr double max_value = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, max_value));
}

std::uint32_t bounded_rate(double value)
{
    constexpr double max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, max_value));
}

/// Returns by how much both of two sums are reduced, so that their ratio
/// remains if one of them is out of range.
double common_scale(double a, double b)
{
    constexpr double max_value = std::numeric_limits<std::uint16_t>::max();
    return std::min(1.0, max_value / std::max({a, b, 1.0}));
}

} // namespace

wire::Neighbour to_wire(routing::neighbour const& from)
{
    return {from.data_centre, ip_of(from.at), from.at.port, from.is_gateway};
}

routing::neighbour from_wire(wire::Neighbour const& from)
{
    return {
        endpoint_of(from.ip(), from.port()), from.data_centre(), from.relays()};
}

wire::Pause to_wire(routing::advertised_pause const& from)
{
    auto const left = std::clamp<std::int64_t>(
        from.left.count(), 0, std::numeric_limits<std::uint32_t>::max());
    model::endpoint const through =
        from.through.value_or(model::endpoint{"0.0.0.0", 0});
    return {from.upstream,
            static_cast<std::uint32_t>(left),
            ip_of(through),
            through.port};
}

routing::advertised_pause from_wire(wire::Pause const& from)
{
    routing::advertised_pause result;
    result.upstream = from.upstream();
    result.left = model::milliseconds(from.left_ms());
    if (from.port() != 0) {
        result.through = endpoint_of(from.ip(), from.port());
    }
    return result;
}

wire::Limit to_wire(routing::advertised_limit const& from)
{
    std::uint32_t scaled = no_limit;
    if (from.requests_per_second) {
        scaled = static_cast<std::uint32_t>(
            std::min(*from.requests_per_second * limit_scale, no_limit - 1.0));
    }
    auto const age = std::clamp<std::int64_t>(from.age.count(), 0, no_limit);
    return {from.upstream, scaled, static_cast<std::uint32_t>(age)};
}

routing::advertised_limit from_wire(wire::Limit const& from)
{
    routing::advertised_limit result;
    result.upstream = from.upstream();
    result.age = model::milliseconds(from.age_ms());
    if (from.millis_a_second() != no_limit) {
        result.requests_per_second = from.millis_a_second() / limit_scale;
    }
    return result;
}

wire::Work to_wire(routing::peer_load const& from)
{
    double const slowdown =
        from.performance.observers == 0
            ? 0.0
            : std::max(1.0, from.performance.slowdown * slowdown_scale);
    return {from.upstream,
            static_cast<std::uint32_t>(from.load.pending_prefill_tokens),
            bounded(from.load.running),
            bounded(from.load.urgent),
            bounded(slowdown),
            bounded(static_cast<double>(from.performance.longest_gap.count()))};
}

routing::peer_load from_wire(wire::Work const& from)
{
    routing::peer_load result;
    result.upstream = from.upstream();
    result.load = {from.running(), from.unread_tokens(), from.urgent()};
    result.performance.observers = from.slowness() == 0 ? 0 : 1;
    result.performance.slowdown = result.performance.observers == 0
                                      ? 1.0
                                      : from.slowness() / slowdown_scale;
    result.performance.longest_gap = model::milliseconds(from.pause_ms());
    return result;
}

wire::Demand to_wire(routing::team_demand const& from)
{
    return {from.key, bounded_rate(from.asked), bounded_rate(from.admitted)};
}

routing::team_demand from_wire(wire::Demand const& from)
{
    return {from.team(),
            static_cast<double>(from.asked()),
            static_cast<double>(from.admitted())};
}

wire::Reading reading_to_wire(routing::peer_load const& from)
{
    routing::engine_readings const& sums = from.readings;
    double const tokens = sums.prompt_tokens / reading_tokens;
    double const reading_scale = common_scale(tokens, sums.reading_ms);
    double const gap_scale = common_scale(sums.event_gaps, sums.event_gap_ms);
    return {
        bounded(tokens * reading_scale),
        bounded(sums.reading_ms * reading_scale),
        bounded(sums.event_gaps * gap_scale),
        bounded(sums.event_gap_ms * gap_scale),
        bounded(static_cast<double>(from.load.memory_tokens) / reading_tokens)};
}

void read_reading(wire::Reading const& from, routing::peer_load& to)
{
    to.readings.prompt_tokens = from.tokens_64() * reading_tokens;
    to.readings.reading_ms = from.reading_ms();
    to.readings.event_gaps = from.event_gaps();
    to.readings.event_gap_ms = from.event_gap_ms();
    to.load.memory_tokens =
        static_cast<std::uint64_t>(from.memory_64() * reading_tokens);
}

} // namespace caperjunction::proxy
