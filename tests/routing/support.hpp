#ifndef CAPERJUNCTION_TESTS_ROUTING_SUPPORT_HPP
#define CAPERJUNCTION_TESTS_ROUTING_SUPPORT_HPP

#include "routing/picker.hpp"
#include "routing/route_table.hpp"
#include "routing/upstream_directory.hpp"

#include <string>

namespace caperjunction::test {

using namespace std::chrono_literals;

/// One hour after the epoch: differs from every default.
inline model::time_point const start{std::chrono::hours(1)};

inline routing::upstream engine(std::string const& id,
                                std::string const& data_centre = "a",
                                std::string const& service = "llm")
{
    routing::upstream result;
    result.id = id;
    result.service = service;
    result.at = {"127.0.0.1", 9'000};
    result.data_centre = data_centre;
    result.slots = 64;
    result.started = 1;
    return result;
}

/// Data centres a and b are in one region, c in another; this host is in a.
inline routing::location locate(std::string const& data_centre)
{
    if (data_centre == "a") {
        return {routing::distance::same_data_centre, "west"};
    }
    if (data_centre == "b") {
        return {routing::distance::same_region, "west"};
    }
    return {routing::distance::other_region, "east"};
}

inline routing::route make_route(std::string const& prefix,
                                 routing::request_kind kind,
                                 std::uint32_t rank = 1)
{
    routing::route result;
    result.name = prefix;
    result.authority = "desk.example";
    result.prefix = prefix;
    result.kind = kind;
    result.rank = rank;
    result.has_prompt_affinity = kind == routing::request_kind::stream;
    result.split = {{"llm", 1}};
    return result;
}

} // namespace caperjunction::test

#endif
