#ifndef CAPERJUNCTION_LISTS_PARSE_HOSTS_HPP
#define CAPERJUNCTION_LISTS_PARSE_HOSTS_HPP

#include "lists/fault.hpp"
#include "model/host_list.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Parses the platform's list of hosts and appends every fault found to
/// `faults`. The result may be used only if none was appended. The revision is
/// assigned by the publisher and stays 0. Thread safety: no shared state.
model::host_list parse_hosts(std::string_view text,
                             std::string const& file,
                             std::vector<fault>& faults);

} // namespace caperjunction::lists

#endif
