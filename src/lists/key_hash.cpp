#include "lists/key_hash.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace caperjunction::lists {
namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::string to_hex(std::array<unsigned char, SHA256_DIGEST_LENGTH> const& bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes) {
        text.push_back(hex_digits[byte >> 4U]);
        text.push_back(hex_digits[byte & 15U]);
    }
    return text;
}

} // namespace

std::string hash_key(std::string_view salt_hex, std::string_view key)
{
    std::string input(salt_hex);
    input.append(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(input.data()),
           input.size(),
           digest.data());
    return to_hex(digest);
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view key_id(std::string_view key)
{
    auto const dot = key.find('.');
    return dot == std::string_view::npos ? std::string_view{}
                                         : key.substr(0, dot);
}

} // namespace caperjunction::lists
