#include "program/control.hpp"

#include "program/report.hpp"

#include <string>

namespace caperjunction::program {

host_status control::status() const
{
    host_status result;
    result.host = m_settings.host_name;
    result.region = m_settings.region;
    result.data_centre = m_settings.data_centre;
    result.ready = m_node.ready();
    result.stopping = m_stopping;
    result.claims = m_bookings.claims();
    auto const in_force = m_node.in_force();
    for (std::size_t index = 0; index < fleet::published_value_count; ++index) {
        auto const value = static_cast<fleet::published_value>(index);
        result.revisions[std::string(fleet::to_string(value))] =
            in_force[value];
    }
    for (fleet::viewed_host const& other : m_node.view()->hosts) {
        result.hosts[other.host.name] =
            std::string(fleet::to_string(other.state));
    }
    return result;
}

void control::add_routes()
{
    m_admin.serve("/livez", [](std::string const& /*id*/) {
        return net::admin_answer{200, "text/plain", "alive\n"};
    });
    m_admin.serve("/readyz", [this](std::string const& /*id*/) {
        return ready() ? net::admin_answer{200, "text/plain", "ready\n"}
                       : net::admin_answer{503, "text/plain", "not ready\n"};
    });
    m_admin.serve("/metrics", [this](std::string const& /*id*/) {
        return net::admin_answer{
            200, "text/plain; version=0.0.4", m_metrics.text()};
    });
    m_admin.serve("/explain", [this](std::string const& id) {
        return explain_answer(m_policy.trail(), id);
    });
    m_admin.serve("/status", [this](std::string const& /*id*/) {
        return status_answer(status(), m_policy.requests());
    });
}

} // namespace caperjunction::program
