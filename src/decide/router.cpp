#include "decide/router.hpp"

#include <algorithm>
#include <unordered_map>

namespace caperjunction::decide {

// The first version: least outstanding work, first come first served, no
// bound. What follows is measured against it.
struct router::state
{
    struct flight
    {
        decide::request request;
        std::string upstream;
    };

    router_settings settings;
    std::unordered_map<model::request_id, flight> flights;
    std::unordered_map<std::string, std::uint32_t> outstanding;
    model::upstreams upstreams;
};

router::router(router_settings settings)
    : m_state(std::make_unique<state>())
{
    m_state->settings = std::move(settings);
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

namespace {

bool serves(model::engine const& engine, std::string const& name)
{
    return !engine.leaving
           && std::find(engine.models.begin(), engine.models.end(), name)
                  != engine.models.end();
}

} // namespace

void router::handle(event const& event,
                    model::time_point /*now*/,
                    std::vector<decision>& out)
{
    state& own = *m_state;
    if (auto const* changed = std::get_if<upstreams_changed>(&event)) {
        own.upstreams = changed->upstreams;
        return;
    }
    if (auto const* ended = std::get_if<attempt_ended>(&event)) {
        auto const found = own.flights.find(ended->id);
        if (found != own.flights.end()) {
            --own.outstanding[found->second.upstream];
            own.flights.erase(found);
        }
        if (ended->end != attempt_end::complete) {
            out.emplace_back(refuse{ended->id,
                                    model::error_kind::upstream_failed,
                                    model::outcome::unknown,
                                    model::milliseconds{1000},
                                    "attempt_failed",
                                    "send it again later"});
        }
        return;
    }
    auto const* arrived = std::get_if<request_arrived>(&event);
    if (arrived == nullptr) {
        return;
    }
    std::string chosen;
    for (auto const& engine : own.upstreams.engines) {
        if (serves(engine, arrived->request.model)
            && (chosen.empty()
                || own.outstanding[engine.name] < own.outstanding[chosen])) {
            chosen = engine.name;
        }
    }
    for (auto const& service : own.upstreams.services) {
        if (!service.leaving && service.service == arrived->request.service
            && (chosen.empty()
                || own.outstanding[service.name] < own.outstanding[chosen])) {
            chosen = service.name;
        }
    }
    if (chosen.empty()) {
        out.emplace_back(refuse{arrived->request.id,
                                model::error_kind::unavailable,
                                model::outcome::not_run,
                                model::milliseconds{1000},
                                "no_upstream",
                                "send it again later"});
        return;
    }
    ++own.outstanding[chosen];
    own.flights[arrived->request.id] = {arrived->request, chosen};
    out.emplace_back(dispatch{arrived->request.id,
                              chosen,
                              0,
                              0,
                              1,
                              {{chosen, model::milliseconds{0}}},
                              "least_outstanding"});
}

std::vector<std::uint8_t> router::digest(model::time_point /*now*/) const
{
    return {};
}

} // namespace caperjunction::decide
