#ifndef CAPERJUNCTION_BENCH_RANDOM_SOURCE_HPP
#define CAPERJUNCTION_BENCH_RANDOM_SOURCE_HPP

#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace caperjunction::bench {

/// Random numbers from one seed. The distributions are implemented here because
/// those of the standard library differ between versions, which would change
/// the golden files.
///
/// Thread safety: none.
class random_source
{
public:
    random_source(std::uint64_t seed, std::uint64_t stream)
        : m_engine(seed * 0x9e3779b97f4a7c15ULL + stream)
    {
    }

    std::uint64_t bits()
    {
        return m_engine();
    }

    /// Returns a value in [0, 1).
    double uniform()
    {
        return static_cast<double>(m_engine() >> 11) * 0x1.0p-53;
    }

    double exponential(double mean)
    {
        return -mean * std::log1p(-uniform());
    }

    /// Returns a lognormal value with the given mean; `sigma` is the standard
    /// deviation of the logarithm.
    double lognormal(double mean, double sigma)
    {
        constexpr double two_pi = 6.283185307179586;
        double const radius = std::sqrt(-2.0 * std::log1p(-uniform()));
        double const normal = radius * std::cos(two_pi * uniform());
        return mean * std::exp(sigma * normal - sigma * sigma / 2.0);
    }

    /// Returns a random index with a probability proportional to its weight.
    std::size_t pick(std::vector<double> const& weights)
    {
        double sum = 0.0;
        for (double const weight : weights) {
            sum += weight;
        }
        double left = uniform() * sum;
        for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
            left -= weights[index];
            if (left < 0.0) {
                return index;
            }
        }
        return weights.size() - 1;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace caperjunction::bench

#endif
