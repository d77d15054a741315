#ifndef CAPERJUNCTION_LISTS_CUSTOMER_HPP
#define CAPERJUNCTION_LISTS_CUSTOMER_HPP

#include <string>
#include <vector>

namespace caperjunction::lists {

/// Stored form of an API key. The key itself is never stored.
struct api_key
{
    /// Part of the key before its first dot, in plain text; the lookup key.
    std::string id;
    /// Hexadecimal; hashed with the key, so that equal keys differ in hash.
    std::string salt;
    /// Hexadecimal SHA-256 of the salt's text followed by the complete key.
    std::string sha256;

    friend bool operator==(api_key const&, api_key const&) = default;
};

/// Part of a customer (a shop, society or desk) that sends requests under one
/// plan.
struct team
{
    std::string name;
    std::string plan;
    std::vector<api_key> keys;

    friend bool operator==(team const&, team const&) = default;
};

struct customer
{
    std::string name;
    std::vector<team> teams;

    friend bool operator==(customer const&, customer const&) = default;
};

} // namespace caperjunction::lists

#endif
