#ifndef CAPERJUNCTION_PROGRAM_REPORT_HPP
#define CAPERJUNCTION_PROGRAM_REPORT_HPP

#include "net/admin_server.hpp"
#include "program/request_tracker.hpp"
#include "program/trail.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace caperjunction::program {

/// A host's view of itself and the fleet, for `status`.
struct host_status
{
    std::string host;
    std::string region;
    std::string data_centre;
    bool ready = false;
    bool stopping = false;
    std::map<std::string, std::uint64_t> revisions;
    /// State of each listed host in this host's view.
    std::map<std::string, std::string> hosts;
    /// Number of claims that this host stores as a witness.
    std::uint64_t claims = 0;
};

/// Returns the trail of the request with the hexadecimal `id`, as JSON.
net::admin_answer explain_answer(trail const& trail, std::string const& id);

/// Returns the status page as JSON.
net::admin_answer status_answer(host_status const& status,
                                request_tracker const& requests);

/// Formats the JSON of `explain_answer` as a readable timeline.
std::string explain_table(std::string const& json_text);

/// Formats the JSON of `status_answer` as readable tables.
std::string status_table(std::string const& json_text);

} // namespace caperjunction::program

#endif
