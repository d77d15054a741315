#ifndef CAPERJUNCTION_PROXY_TEAM_SHARE_UPDATES_HPP
#define CAPERJUNCTION_PROXY_TEAM_SHARE_UPDATES_HPP

#include "proxy/relay_context.hpp"
#include "routing/digest_set.hpp"
#include "routing/request_share.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::proxy {

/// Returns the demand of teams at this host for its digests.
std::vector<routing::team_demand> demands_to_advertise(relay_context& context);

/// Bounds the sums of demand that an aggregator sends.
void bound_demands(relay_context const& context, routing::digest_set& digests);

/// Computes the shares of all services from the demand of this host and what
/// others have reported. Called once in each digest period.
void update_team_shares(relay_context& context);

/// Returns the share of a request; `applies`: whether requests of its urgency
/// are refused by shares.
routing::request_share share_of_request(relay_context const& context,
                                        std::string const& service,
                                        std::string const& team,
                                        std::uint64_t request_hash,
                                        bool applies);

} // namespace caperjunction::proxy

#endif
