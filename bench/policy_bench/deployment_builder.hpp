#ifndef CAPERJUNCTION_BENCH_DEPLOYMENT_BUILDER_HPP
#define CAPERJUNCTION_BENCH_DEPLOYMENT_BUILDER_HPP

#include "bench/policy_bench/deployment.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// Adds hosts, upstreams and teams to a deployment with numbered names.
///
/// Thread safety: none.
class deployment_builder
{
public:
    explicit deployment_builder(deployment& into);

    void add_hosts(std::string const& region,
                   std::string const& data_centre,
                   std::size_t count);
    void add_engines(std::string const& region,
                     std::string const& data_centre,
                     std::string const& model,
                     std::size_t count);
    void add_service(std::string const& region,
                     std::string const& data_centre,
                     std::string const& service);

    /// Creates the catalogue: one customer whose teams share one plan with all
    /// classes, models and services of the loads.
    void finish(std::vector<lists::tier> tiers,
                std::vector<lists::service_class> classes);

private:
    deployment& m_deployment;
};

} // namespace caperjunction::bench

#endif
