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

/// What a host keeps of one published value.
struct value_slot
{
    /// The highest revision received, checked or not.
    checked_value latest;
    /// Between the two: what a peer has in force where `latest` fails here.
    checked_value fallback;
    checked_value in_force;
    /// How `latest` came about, for peers that hold an earlier one.
    delta_chain deltas;

    /// A watch or read is open at the service.
    bool watching = false;
    /// The service has answered, or failed to, since the start.
    bool service_polled = false;
    model::time_point next_watch{};
    /// An answer that never comes must not end all further asking.
    model::time_point watch_deadline{};

    /// The peer that was asked for a body; empty if none.
    std::string fetching_from;
    std::uint64_t fetching_revision = 0;
    model::time_point fetch_deadline{};
    /// A splice did not fit; the next fetch asks for the whole body.
    bool fetch_complete = false;

    /// Why `latest` is not in force; told once it has lasted.
    std::vector<lists::fault> faults;
    std::uint64_t faulty_revision = 0;
    model::time_point faulty_since{};
    std::uint64_t reported_revision = 0;
};

} // namespace caperjunction::fleet

#endif
