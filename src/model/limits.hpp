#ifndef CAPERJUNCTION_MODEL_LIMITS_HPP
#define CAPERJUNCTION_MODEL_LIMITS_HPP

#include <cstddef>
#include <cstdint>

/// Every compile-time limit and capacity of the project, in one place.
namespace caperjunction::model::limits {

/// Requests one host holds in queue before it refuses the lowest tier.
inline constexpr std::size_t max_queued_requests = 100'000;
/// Messages a task's mailbox holds before the sender is told to wait.
inline constexpr std::size_t mailbox_capacity = 65'536;
/// Bytes of a caller's request body.
inline constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
/// Bytes of a caller's request headers.
inline constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
/// Bytes of one published list (the platform's own bound on a value).
inline constexpr std::size_t max_list_bytes = std::size_t{1024} * 1024;
/// Service tiers that the lists may name.
inline constexpr std::size_t max_tiers = 16;
/// Characters of any name in the lists; names become metric labels.
inline constexpr std::size_t max_name_length = 64;
/// Characters of an Idempotency-Key.
inline constexpr std::size_t max_idempotency_key_length = 255;

} // namespace caperjunction::model::limits

#endif
