#ifndef CAPERJUNCTION_LISTS_CUSTOMER_HPP
#define CAPERJUNCTION_LISTS_CUSTOMER_HPP

#include <string>
#include <vector>

namespace caperjunction::lists {

/// An API key as it is kept: never the key itself.
struct api_key
{
    /// The part of the key before its dot, in clear; finds this entry.
    std::string id;
    /// Hex; mixed into the hash, so that equal keys have unequal hashes.
    std::string salt;
    /// Hex of SHA-256 over the salt's text and the whole key.
    std::string sha256;

    friend bool operator==(api_key const&, api_key const&) = default;
};

/// A shop, society or desk that sends requests under one plan.
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
