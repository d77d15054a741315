#ifndef CAPERJUNCTION_STAND_INS_SITE_LISTS_HPP
#define CAPERJUNCTION_STAND_INS_SITE_LISTS_HPP

#include "model/endpoint.hpp"

#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// A host or upstream of a small site, all in one data centre.
struct site_member
{
    std::string name;
    model::endpoint address;
    /// Hosts only: where peers reach it.
    model::endpoint peers;
};

/// API keys of the small site: team `desk` has a plan with model and ledger,
/// team `poor` has one that includes nothing.
inline constexpr char const* site_key = "desk.secret";
inline constexpr char const* site_unentitled_key = "poor.secret";
inline constexpr char const* site_model = "drafter";

/// The published values of a small site, as JSON.
std::string site_plans();
std::string site_entitlements();
std::string site_hosts(std::vector<site_member> const& hosts);
std::string site_upstreams(std::vector<site_member> const& engines,
                           std::vector<site_member> const& ledgers);

} // namespace caperjunction::stand_ins

#endif
