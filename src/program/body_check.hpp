#ifndef CAPERJUNCTION_PROGRAM_BODY_CHECK_HPP
#define CAPERJUNCTION_PROGRAM_BODY_CHECK_HPP

#include "fleet/configuration_settings.hpp"
#include "lists/fault.hpp"

#include <vector>

namespace caperjunction::program {

/// Checks published bodies as the process will read them.
///
/// Thread safety: no shared state.
std::vector<lists::fault> check_published(fleet::value_bodies const& bodies);

} // namespace caperjunction::program

#endif
