#ifndef CAPERJUNCTION_LISTS_PARSE_UPSTREAMS_HPP
#define CAPERJUNCTION_LISTS_PARSE_UPSTREAMS_HPP

#include "lists/fault.hpp"
#include "model/upstream_list.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Parses the platform's list of upstreams and appends every fault found to
/// `faults`. The result may be used only if none was appended. The revision is
/// assigned by the publisher and stays 0. Thread safety: no shared state.
model::upstream_list parse_upstreams(std::string_view text,
                                     std::string const& file,
                                     std::vector<fault>& faults);

} // namespace caperjunction::lists

#endif
