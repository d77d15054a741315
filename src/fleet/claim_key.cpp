#include "fleet/claim_key.hpp"

#include <xxhash.h>

#include <string>

namespace caperjunction::fleet {

claim_key make_claim_key(std::string_view customer,
                         std::string_view idempotency_key)
{
    // The length prefix makes "ab"+"c" and "a"+"bc" differ.
    std::string text = std::to_string(customer.size());
    text += ':';
    text += customer;
    text += idempotency_key;
    XXH128_hash_t const hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

} // namespace caperjunction::fleet
