#ifndef CAPERJUNCTION_STAND_INS_SITE_LISTS_HPP
#define CAPERJUNCTION_STAND_INS_SITE_LISTS_HPP

#include "model/endpoint.hpp"

#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// A host or upstream of the test site, which has one data centre.
struct site_member
{
    std::string name;
    model::endpoint address;
    /// Address for peers. Hosts only.
    model::endpoint peers;
};

/// API keys of the test site. The plan of team `desk` includes the models and
/// the ledger service; the plan of team `poor` includes nothing.
inline constexpr char const* site_key = "desk.secret";
inline constexpr char const* site_unentitled_key = "poor.secret";
inline constexpr char const* site_model = "drafter";

/// Return the values that the platform publishes for the test site, as JSON.
std::string site_plans();
std::string site_entitlements();
std::string site_hosts(std::vector<site_member> const& hosts);
std::string site_upstreams(std::vector<site_member> const& engines,
                           std::vector<site_member> const& ledgers);

} // namespace caperjunction::stand_ins

#endif
