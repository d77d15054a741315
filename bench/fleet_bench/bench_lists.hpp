#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_BENCH_LISTS_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_BENCH_LISTS_HPP

#include "fleet/configuration_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// Generates a list of plans with a given number of teams, and edits it as
/// operators do.
///
/// Thread safety: none.
class bench_lists
{
public:
    bench_lists(std::size_t teams, std::uint64_t seed);

    /// Returns the list of plans as JSON.
    std::string plans() const;

    /// Returns the matching list of entitlements as JSON.
    static std::string entitlements();

    /// Replaces the key of one random team.
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

/// Parses and checks both lists as the router does. Accepts all other values.
std::vector<lists::fault> check_lists(fleet::value_bodies const& bodies);

} // namespace caperjunction::bench

#endif
