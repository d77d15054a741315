#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_BENCH_LISTS_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_BENCH_LISTS_HPP

#include "fleet/configuration_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// A list of plans for so many teams, and edits of it as operators make them.
///
/// Thread safety: none.
class bench_lists
{
public:
    bench_lists(std::size_t teams, std::uint64_t seed);

    /// The list of plans as JSON text.
    std::string plans() const;

    /// The list of entitlements that goes with it.
    static std::string entitlements();

    /// Gives one random team a new key.
    void change_one_key();

    std::size_t teams() const
    {
        return m_hashes.size();
    }

private:
    std::string random_hex(std::size_t digits);

    std::mt19937_64 m_random;
    std::vector<std::string> m_salts;
    std::vector<std::string> m_hashes;
};

/// Parses and checks the two lists as the product does; other values pass.
std::vector<lists::fault> check_lists(fleet::value_bodies const& bodies);

} // namespace caperjunction::bench

#endif
