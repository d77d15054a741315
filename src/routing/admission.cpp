#include "routing/admission.hpp"

namespace caperjunction::routing {
namespace {

admission refused(refusal_reason reason)
{
    admission made;
    made.refused = reason;
    return made;
}

} // namespace

admission admit(route_table const* table,
                key_lease const& lease,
                admission_request const& request)
{
    if (table == nullptr) {
        return refused(refusal_reason::no_configuration);
    }
    admission made;
    made.route = table->match(request.authority, request.path);
    if (made.route == nullptr) {
        return refused(refusal_reason::no_route);
    }
    if (made.route->is_public || table->config().teams.empty()) {
        return made;
    }
    // Before the look-up: a stale host knows neither keys that were taken
    // away nor keys that were given.
    if (!lease.is_valid(request.now)) {
        return refused(refusal_reason::keys_stale);
    }
    if (request.key.empty()) {
        return refused(refusal_reason::key_missing);
    }
    made.team = table->find_team(request.key);
    if (made.team == nullptr) {
        return refused(refusal_reason::key_unknown);
    }
    return made;
}

} // namespace caperjunction::routing
