#include "fleet/agent.hpp"

#include "fleet/configuration.hpp"
#include "fleet/digest_exchange.hpp"
#include "fleet/membership.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::fleet {
namespace {

configuration_settings
make_configuration_settings(agent_settings const& settings)
{
    configuration_settings result = settings.configuration;
    result.host = settings.membership.self.name;
    result.region = settings.membership.self.region;
    return result;
}

} // namespace

struct agent::state
{
    explicit state(agent_settings const& settings)
        : members(settings.membership)
        , values(make_configuration_settings(settings))
        , digests(settings.digests,
                  settings.membership.self.name,
                  settings.membership.self.region,
                  settings.membership.generation)
    {
    }

    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out)
    {
        // Configuration goes first, so that heartbeats carry the newest
        // revisions.
        values.handle(event, now, out);
        members.set_announcement(values.announcement());
        members.set_behind_peers(values.behind_peers());
        auto const before = members.view();
        members.handle(event, now, out);
        if (members.view() != before) {
            apply_view(out);
        }
        digests.handle(event, now, out);
    }

    void apply_view(std::vector<agent_output>& out)
    {
        values.set_view(*members.view());
        values.set_neighbours(members.neighbours());
        digests.set_view(*members.view());
        keep_links wanted{members.neighbours()};
        for (std::string const& name : digests.partners()) {
            wanted.hosts.push_back(name);
        }
        std::sort(wanted.hosts.begin(), wanted.hosts.end());
        auto const end = std::unique(wanted.hosts.begin(), wanted.hosts.end());
        wanted.hosts.erase(end, wanted.hosts.end());
        if (wanted.hosts != links) {
            links = wanted.hosts;
            out.push_back(std::move(wanted));
        }
    }

    membership members;
    configuration values;
    digest_exchange digests;
    std::vector<std::string> links;
};

agent::agent(agent_settings const& settings)
    : m_state(std::make_unique<state>(settings))
{
}

agent::~agent() = default;
agent::agent(agent&&) noexcept = default;
agent& agent::operator=(agent&&) noexcept = default;

void agent::handle(agent_event const& event,
                   model::time_point now,
                   std::vector<agent_output>& out)
{
    m_state->handle(event, now, out);
}

std::shared_ptr<host_view const> agent::view() const
{
    return m_state->members.view();
}

bool agent::ready() const
{
    return m_state->values.ready();
}

bool agent::is_view_current() const
{
    return m_state->members.is_view_current();
}

value_revisions agent::in_force() const
{
    return m_state->values.announcement().in_force;
}

} // namespace caperjunction::fleet
