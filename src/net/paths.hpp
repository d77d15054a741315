#ifndef CAPERJUNCTION_NET_PATHS_HPP
#define CAPERJUNCTION_NET_PATHS_HPP

#include <string_view>

namespace caperjunction::net::paths {

// Paths served to callers.
inline constexpr std::string_view chat = "/v1/chat/completions";
inline constexpr std::string_view completion = "/v1/completions";
inline constexpr std::string_view models = "/v1/models";
inline constexpr std::string_view services = "/services/";

} // namespace caperjunction::net::paths

#endif
