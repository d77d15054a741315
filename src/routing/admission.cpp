#include "routing/admission.hpp"

namespace caperjunction::routing {
namespace {

admission refused(refusal_reason reason)
{
    admission result;
    result.refused = reason;
    return result;
}

} // namespace

admission admit(route_table const* table,
                key_lease const& lease,
                admission_request const& request)
{
    if (table == nullptr) {
        return refused(refusal_reason::no_configuration);
    }
    admission result;
    result.route = table->match(request.authority, request.path);
    if (result.route == nullptr) {
        return refused(refusal_reason::no_route);
    }
    result.homes.restrict_to(result.route->home_regions);
    if (result.route->is_public || table->config().teams.empty()) {
        return result;
    }
    // Checked before the look-up: a host with an expired lease knows neither
    // revoked nor newly issued keys, so a key it does not find may still be
    // valid.
    if (!lease.is_valid(request.now)) {
        return refused(refusal_reason::keys_stale);
    }
    if (request.key.empty()) {
        return refused(refusal_reason::key_missing);
    }
    result.team = table->find_team(request.key);
    if (result.team == nullptr) {
        return refused(refusal_reason::key_unknown);
    }
    result.homes.restrict_to(result.team->home_regions);
    return result;
}

} // namespace caperjunction::routing
