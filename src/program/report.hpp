#ifndef CAPERJUNCTION_PROGRAM_REPORT_HPP
#define CAPERJUNCTION_PROGRAM_REPORT_HPP

#include "net/admin_server.hpp"
#include "program/request_tracker.hpp"
#include "program/trail.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace caperjunction::program {

/// One host's own view, for `status`.
struct host_status
{
    std::string host;
    std::string region;
    std::string data_centre;
    bool ready = false;
    bool stopping = false;
    std::map<std::string, std::uint64_t> revisions;
    /// State of each listed host, as this one sees it.
    std::map<std::string, std::string> hosts;
    /// Claims that this host remembers as a witness.
    std::uint64_t claims = 0;
};

/// The trail of the request with this id (hex), as JSON.
net::admin_answer explain_answer(trail const& trail, std::string const& id);

/// The status page, as JSON.
net::admin_answer status_answer(host_status const& status,
                                request_tracker const& requests);

/// The JSON of `explain_answer` as a timeline for a person.
std::string explain_table(std::string const& json_text);

/// The JSON of `status_answer` as tables for a person.
std::string status_table(std::string const& json_text);

} // namespace caperjunction::program

#endif
