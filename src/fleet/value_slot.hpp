#ifndef CAPERJUNCTION_FLEET_VALUE_SLOT_HPP
#define CAPERJUNCTION_FLEET_VALUE_SLOT_HPP

#include "fleet/agent_output.hpp"
#include "fleet/delta_chain.hpp"
#include "lists/fault.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// State of one published value.
struct value_slot
{
    /// The highest revision received, checked or not.
    checked_value latest;
    /// A revision between `in_force` and `latest` that a peer has in force
    /// while `latest` fails its checks here.
    checked_value fallback;
    checked_value in_force;
    /// Deltas up to `latest`, for peers that hold an earlier revision.
    delta_chain deltas;

    /// A watch or read is pending at the service.
    bool watching = false;
    /// A read has ended since the start, with or without an answer.
    bool service_polled = false;
    model::time_point next_watch{};
    /// After this time the watch counts as lost. Without it, a missing answer
    /// would end all polling of the value.
    model::time_point watch_deadline{};

    /// The peer of the pending fetch; empty if none.
    std::string fetching_from;
    std::uint64_t fetching_revision = 0;
    model::time_point fetch_deadline{};
    /// The deltas could not be applied; the next fetch requests the complete
    /// body.
    bool fetch_complete = false;

    /// Why `latest` is not in force; reported after `fault_report_delay`.
    std::vector<lists::fault> faults;
    std::uint64_t faulty_revision = 0;
    model::time_point faulty_since{};
    std::uint64_t reported_revision = 0;
};

} // namespace caperjunction::fleet

#endif
