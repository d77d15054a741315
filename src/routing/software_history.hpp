#ifndef CAPERJUNCTION_ROUTING_SOFTWARE_HISTORY_HPP
#define CAPERJUNCTION_ROUTING_SOFTWARE_HISTORY_HPP

#include "model/time.hpp"
#include "routing/software.hpp"
#include "routing/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace caperjunction::routing {

/// What a host knows of the software that began streams of a service within
/// some time, without knowing the single streams.
enum class served_software : std::uint8_t
{
    /// One version alone has served all that time.
    one,
    /// Several have.
    several,
    /// This host hasn't known the service for that long.
    unknown,
};

/// The software versions that served, as this host has read them.
///
/// Thread safety: none; owned by one task.
class software_history
{
public:
    /// Records what the directory holds now; leaving upstreams serve, too. Must
    /// be called at least once between two changes of the directory. After a
    /// pause of seconds everything before it is forgotten: what has come and
    /// gone meanwhile is unknown.
    void observe(upstream_directory const& directory, model::time_point now);

    /// Forgets everything: the directory isn't current.
    void reset()
    {
        m_services.clear();
    }

    /// Returns what served within `window` before `now`.
    served_software served(std::uint64_t service,
                           model::milliseconds window,
                           model::time_point now) const;

    /// Returns the newest software of a service; nothing if there is none.
    /// \pre after `served` has returned `one`: that one.
    std::optional<software> newest(std::uint64_t service) const;

private:
    struct service_history
    {
        model::time_point first_seen{};
        std::map<software, model::time_point> last_seen;
    };

    std::map<std::uint64_t, service_history> m_services;
    model::time_point m_observed_at{};
};

} // namespace caperjunction::routing

#endif
