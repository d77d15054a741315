#ifndef CAPERJUNCTION_PROXY_TEXT_PACKER_HPP
#define CAPERJUNCTION_PROXY_TEXT_PACKER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Compresses `text` (zstd). A non-empty `base` serves as dictionary, so that
/// only the difference between two versions of a text remains.
///
/// Thread safety: any thread.
/// \throws std::bad_alloc if memory is exhausted.
std::string pack_text(std::string_view text, std::string_view base);

/// Decompresses a text that was compressed against the same `base`. Returns
/// std::nullopt if the bytes are invalid or the text exceeds `max_bytes`.
///
/// Thread safety: any thread.
std::optional<std::string> unpack_text(std::string_view packed,
                                       std::string_view base,
                                       std::size_t max_bytes);

} // namespace caperjunction::proxy

#endif
