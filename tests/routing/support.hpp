#ifndef CAPERJUNCTION_TESTS_ROUTING_SUPPORT_HPP
#define CAPERJUNCTION_TESTS_ROUTING_SUPPORT_HPP

#include "routing/picker.hpp"
#include "routing/route_table.hpp"
#include "routing/upstream_directory.hpp"

#include <string>

namespace caperjunction::test {

using namespace std::chrono_literals;

/// An hour past the epoch, so that it differs from every default.
inline model::time_point const start{std::chrono::hours(1)};

inline routing::upstream engine(std::string const& id,
                                std::string const& data_centre = "a",
                                std::string const& service = "llm")
{
    routing::upstream made;
    made.id = id;
    made.service = service;
    made.at = {"127.0.0.1", 9'000};
    made.data_centre = data_centre;
    made.slots = 64;
    made.started = 1;
    return made;
}

/// Data centres a and b stand in one region, c in another; this host in a.
inline routing::distance measure(std::string const& data_centre)
{
    if (data_centre == "a") {
        return routing::distance::same_data_centre;
    }
    return data_centre == "b" ? routing::distance::same_region
                              : routing::distance::other_region;
}

inline routing::route make_route(std::string const& prefix,
                                 routing::request_kind kind,
                                 std::uint32_t rank = 1)
{
    routing::route made;
    made.name = prefix;
    made.authority = "desk.example";
    made.prefix = prefix;
    made.kind = kind;
    made.rank = rank;
    made.has_prompt_affinity = kind == routing::request_kind::stream;
    made.split = {{"llm", 1}};
    return made;
}

} // namespace caperjunction::test

#endif
