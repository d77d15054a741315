#ifndef CAPERJUNCTION_PROGRAM_FLAGS_HPP
#define CAPERJUNCTION_PROGRAM_FLAGS_HPP

#include "program/endpoint_flag.hpp"
#include "program/settings.hpp"

#include <absl/flags/declare.h>

#include <string>

ABSL_DECLARE_FLAG(caperjunction::program::endpoint_flag, admin);
ABSL_DECLARE_FLAG(std::string, format);
ABSL_DECLARE_FLAG(std::string, config);
ABSL_DECLARE_FLAG(std::string, host_name);
ABSL_DECLARE_FLAG(std::string, region);
ABSL_DECLARE_FLAG(std::string, data_centre);
ABSL_DECLARE_FLAG(caperjunction::program::endpoint_flag, listen);
ABSL_DECLARE_FLAG(caperjunction::program::endpoint_flag, peer_listen);
ABSL_DECLARE_FLAG(caperjunction::program::endpoint_flag, admin_listen);
ABSL_DECLARE_FLAG(caperjunction::program::endpoint_flag, platform);

namespace caperjunction::program {

/// Returns the settings from the flags and the environment.
///
/// \pre The command line has been read.
/// \throws model::error (bad_settings) with the remedy.
settings load_settings();

} // namespace caperjunction::program

#endif
