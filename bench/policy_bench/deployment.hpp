#ifndef CAPERJUNCTION_BENCH_DEPLOYMENT_HPP
#define CAPERJUNCTION_BENCH_DEPLOYMENT_HPP

#include "bench/policy_bench/class_load.hpp"
#include "bench/policy_bench/engine_parameters.hpp"
#include "bench/policy_bench/network.hpp"
#include "bench/policy_bench/place.hpp"
#include "lists/catalogue.hpp"
#include "model/host.hpp"
#include "model/upstream_list.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::bench {

/// One user's installation at its current size.
struct deployment
{
    std::string name;
    /// In the order of `place::region` and `place::data_centre`.
    std::vector<std::string> regions;
    std::vector<std::string> data_centres;
    std::vector<model::host> hosts;
    model::upstream_list upstreams;
    std::shared_ptr<lists::catalogue const> catalogue;
    std::vector<class_load> loads;
    /// Weights in the order of the customer's teams; a few teams are large.
    std::vector<double> team_weights;
    network::delays delays;
    engine_parameters engine;

    place place_of(std::string const& region,
                   std::string const& data_centre) const;

    lists::service_class const& class_of(std::size_t load) const;
    lists::tier const& tier_of(std::size_t load) const;

    /// Returns the engine time of a request of these lengths with a full batch
    /// and an empty cache.
    double engine_seconds(double prompt_tokens, double output_tokens) const;

    /// Returns the work of a request in output tokens. A prompt token counts as
    /// many as the engine could have generated in the same time with a full
    /// batch.
    double work(double prompt_tokens, double output_tokens) const;

    /// Returns the work of all engines per second with full batches.
    double capacity() const;
};

/// \throws model::error if there is no deployment of that name.
deployment make_deployment(std::string_view name);

std::vector<std::string> deployment_names();

} // namespace caperjunction::bench

#endif
