#ifndef CAPERJUNCTION_MODEL_LIMITS_HPP
#define CAPERJUNCTION_MODEL_LIMITS_HPP

#include <cstddef>
#include <cstdint>

/// Compile-time limits and capacities of the project.
namespace caperjunction::model::limits {

/// Queued requests per host. Beyond this limit the lowest tier is refused.
inline constexpr std::size_t max_queued_requests = 100'000;
/// Messages in a task's mailbox. Beyond it `post` fails and
/// `post_or_wait` blocks.
inline constexpr std::size_t mailbox_capacity = 65'536;
/// Size of a caller's request body.
inline constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
/// Size of all answers that a host of `serve` keeps until they are complete.
inline constexpr std::size_t max_kept_bytes = std::size_t{256} * 1024 * 1024;
/// Size of a caller's request headers.
inline constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
/// Size of one published list; equals the platform's limit for one value.
inline constexpr std::size_t max_list_bytes = std::size_t{1024} * 1024;
/// Number of service tiers that the list of plans may define.
inline constexpr std::size_t max_tiers = 16;
/// Length of a name in the lists. Names are used as metric labels.
inline constexpr std::size_t max_name_length = 64;
/// Length of an Idempotency-Key header.
inline constexpr std::size_t max_idempotency_key_length = 255;

} // namespace caperjunction::model::limits

#endif
