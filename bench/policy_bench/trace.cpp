#include "bench/policy_bench/trace.hpp"

#include "bench/policy_bench/random_source.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::bench {
namespace {

// Number of blocks that a router hashes; longer prefixes have little benefit.
constexpr std::uint32_t hashed_blocks = 8;
constexpr double hang_up_share = 0.01;
constexpr double mean_hang_up_s = 2.0;
// Limits a burst of the highest tier to its share and the idle capacity;
// otherwise no policy could keep the lower tiers' shares as well.
constexpr double highest_tier_burst = 2.0;

// Mixed lengths: `long_share` of the answers is longer than the mean by
// `long_factor`, and the others are shorter so that the mean is the same.
constexpr double long_share = 0.1;
constexpr double long_factor = 5.0;
constexpr double short_factor =
    (1.0 - long_share * long_factor) / (1.0 - long_share);

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

double base_scale(deployment const& deployment, scenario const& scenario)
{
    double total = 0.0;
    for (class_load const& load : deployment.loads) {
        total += load.share_of_capacity;
    }
    return scenario.load_of_capacity > 0.0 ? scenario.load_of_capacity / total
                                           : scenario.load;
}

/// Returns the additional demand in the window as a multiple of the base rate.
double extra_demand(deployment const& deployment,
                    scenario const& scenario,
                    std::size_t load)
{
    double const wanted = std::max(scenario.flood, scenario.burst - 1.0);
    bool const highest = deployment.tier_of(load).rank == 0;
    return highest ? std::min(wanted, highest_tier_burst - 1.0) : wanted;
}

/// Generates the requests of one load.
class load_source
{
public:
    load_source(deployment const& deployment,
                scenario const& scenario,
                std::uint64_t seed,
                std::size_t load)
        : m_deployment(deployment)
        , m_scenario(scenario)
        , m_load(load)
        , m_random(seed, load)
        , m_is_affected(affected_load(deployment, seed) == load)
    {
    }

    void generate(std::vector<planned_request>& out)
    {
        double const base = base_rate();
        double const extra =
            m_is_affected ? extra_demand(m_deployment, m_scenario, m_load)
                          : 0.0;
        double const peak = base * (1.0 + extra);
        double const end = static_cast<double>(m_scenario.length.count());
        double at = m_random.exponential(1.0 / peak);
        while (at < end) {
            bool const in_window =
                at >= static_cast<double>(m_scenario.from.count())
                && at < static_cast<double>(m_scenario.until.count());
            double const share = m_random.uniform() * peak / base;
            if (share < 1.0) {
                out.push_back(
                    make_request(at, m_random.pick(m_deployment.team_weights)));
            } else if (in_window) {
                bool const flood = m_scenario.flood > 0.0;
                std::size_t const team =
                    flood ? 0 : m_random.pick(m_deployment.team_weights);
                out.push_back(make_request(at, team));
            }
            at += m_random.exponential(1.0 / peak);
        }
    }

private:
    class_load const& own() const
    {
        return m_deployment.loads[m_load];
    }

    double base_rate() const
    {
        double const scale = base_scale(m_deployment, m_scenario);
        if (!own().service.empty()) {
            return own().calls_per_second * scale;
        }
        double const engines =
            static_cast<double>(m_deployment.upstreams.engines.size());
        return scale * own().share_of_capacity * engines
               / m_deployment.engine_seconds(own().mean_prompt_tokens,
                                             own().mean_output_tokens);
    }

    planned_request make_request(double at, std::size_t team)
    {
        planned_request made;
        made.when = model::time_point{}
                    + std::chrono::duration_cast<std::chrono::nanoseconds>(
                        model::seconds(at));
        made.load = m_load;
        made.team = team;
        made.balancer = m_random.bits();
        made.fingerprint = m_random.bits();
        if (m_random.uniform() < hang_up_share) {
            made.hangs_up_after =
                std::chrono::duration_cast<std::chrono::nanoseconds>(
                    model::seconds(m_random.exponential(mean_hang_up_s)));
        }
        if (own().service.empty()) {
            set_lengths(made);
        } else {
            made.call_length =
                std::chrono::duration_cast<std::chrono::nanoseconds>(
                    own().mean_call * m_random.lognormal(1.0, own().spread));
        }
        return made;
    }

    void set_lengths(planned_request& made)
    {
        double mean = own().mean_output_tokens;
        if (m_scenario.mixed_lengths) {
            mean *=
                m_random.uniform() < long_share ? long_factor : short_factor;
        }
        double const longest = m_deployment.class_of(m_load).max_output_tokens;
        made.output_tokens = static_cast<std::uint32_t>(
            std::clamp(m_random.lognormal(mean, own().spread), 2.0, longest));
        double const prompt =
            m_random.lognormal(own().mean_prompt_tokens, own().spread);
        made.prompt_tokens =
            static_cast<std::uint32_t>(std::clamp(prompt, 16.0, 16'384.0));
        set_prefix_blocks(made);
    }

    // The leading blocks are those of one of the team's documents. The
    // following ones are unique to the caller and only recur in a retry.
    void set_prefix_blocks(planned_request& made)
    {
        double const tokens = own().mean_prompt_tokens * own().document_share;
        std::uint32_t const block = m_deployment.engine.block_tokens;
        auto const shared = static_cast<std::uint32_t>(tokens / block);
        std::uint64_t const document = m_random.bits() % own().documents;
        std::uint64_t hash = mix(1 + m_load * 1000 + made.team * 10 + document);
        std::uint32_t const count =
            std::min(hashed_blocks, made.prompt_tokens / block);
        for (std::uint32_t index = 0; index < count; ++index) {
            hash = mix(hash + (index < shared ? 1 : made.fingerprint));
            made.prefix_blocks.push_back(hash);
        }
    }

    deployment const& m_deployment;
    scenario const& m_scenario;
    std::size_t m_load;
    random_source m_random;
    bool m_is_affected;
};

planned_request make_killer(deployment const& deployment,
                            scenario const& scenario,
                            std::uint64_t seed)
{
    random_source random(seed, deployment.loads.size());
    planned_request made;
    made.when = model::time_point{} + scenario.from;
    made.load = affected_load(deployment, seed);
    made.team = random.bits() % deployment.team_weights.size();
    made.prompt_tokens = deployment.loads[made.load].mean_prompt_tokens;
    made.output_tokens = deployment.loads[made.load].mean_output_tokens;
    made.fingerprint = random.bits();
    made.balancer = random.bits();
    made.killer = true;
    return made;
}

} // namespace

std::size_t affected_load(deployment const& deployment, std::uint64_t seed)
{
    std::vector<std::size_t> candidates;
    for (std::size_t load = 0; load < deployment.loads.size(); ++load) {
        if (deployment.loads[load].service.empty()) {
            candidates.push_back(load);
        }
    }
    return candidates[seed % candidates.size()];
}

double peak_share(deployment const& deployment,
                  scenario const& scenario,
                  std::uint64_t seed,
                  std::size_t load)
{
    double const extra = affected_load(deployment, seed) == load
                             ? extra_demand(deployment, scenario, load)
                             : 0.0;
    return deployment.loads[load].share_of_capacity
           * base_scale(deployment, scenario) * (1.0 + extra);
}

std::vector<planned_request> generate_trace(deployment const& deployment,
                                            scenario const& scenario,
                                            std::uint64_t seed)
{
    std::vector<planned_request> trace;
    for (std::size_t load = 0; load < deployment.loads.size(); ++load) {
        load_source(deployment, scenario, seed, load).generate(trace);
    }
    if (scenario.killer) {
        trace.push_back(make_killer(deployment, scenario, seed));
    }
    std::stable_sort(
        trace.begin(), trace.end(), [](auto const& left, auto const& right) {
            return left.when < right.when;
        });
    return trace;
}

} // namespace caperjunction::bench
