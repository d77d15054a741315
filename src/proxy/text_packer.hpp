#ifndef CAPERJUNCTION_PROXY_TEXT_PACKER_HPP
#define CAPERJUNCTION_PROXY_TEXT_PACKER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Compresses `text` (zstd), against `base` unless that is empty: of two
/// versions of one text the difference is left.
///
/// Thread safety: any thread.
/// \throws std::bad_alloc if there is no memory for it.
std::string pack_text(std::string_view text, std::string_view base);

/// The text that was packed against the same `base`; nothing if the bytes
/// aren't that, or the text would be larger than `most` bytes.
///
/// Thread safety: any thread.
std::optional<std::string> unpack_text(std::string_view packed,
                                       std::string_view base,
                                       std::size_t max_bytes);

} // namespace caperjunction::proxy

#endif
