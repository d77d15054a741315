#ifndef CAPERJUNCTION_FLEET_CLAIM_KEY_HPP
#define CAPERJUNCTION_FLEET_CLAIM_KEY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caperjunction::fleet {

/// Identifies one non-repeatable call: a 128-bit hash of the customer and its
/// Idempotency-Key. Witnesses see neither of them in the clear.
struct claim_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(claim_key const&, claim_key const&) = default;

    friend bool operator<(claim_key const& a, claim_key const& b)
    {
        return a.high != b.high ? a.high < b.high : a.low < b.low;
    }
};

/// Hashes customer and key with a length prefix, so that no two pairs hash the
/// same text.
///
/// Thread safety: any thread.
claim_key make_claim_key(std::string_view customer,
                         std::string_view idempotency_key);

/// Returns the bucket of a key; votes are held per bucket, not per key.
///
/// \pre buckets is not 0.
constexpr std::size_t claim_bucket(claim_key key, std::size_t buckets)
{
    return static_cast<std::size_t>(key.low % buckets);
}

} // namespace caperjunction::fleet

#endif
