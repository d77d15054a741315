#ifndef CAPERJUNCTION_FLEET_DIGEST_EXCHANGE_HPP
#define CAPERJUNCTION_FLEET_DIGEST_EXCHANGE_HPP

#include "fleet/agent_event.hpp"
#include "fleet/agent_output.hpp"
#include "fleet/digest_settings.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Sends this host's load to peers and passes on theirs, within a budget.
///
/// Up to `fan_out` peers all get every digest. In a larger fleet half of the
/// fan-out goes to fixed partners in the region, whose load is then known as
/// freshly as in a small fleet, and the rest goes round all others in turn,
/// so that news of a tier being refused anywhere arrives in the end.
///
/// Thread safety: none; owned by one task.
class digest_exchange
{
public:
    /// `generation` begins the numbering above any earlier process's.
    digest_exchange(digest_settings const& settings,
                    std::string host,
                    std::string region,
                    std::uint64_t generation);

    /// Takes one event at time `now` and appends what is to be done to `out`.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// Chooses partners anew among the live hosts.
    void set_view(host_view const& view);

    /// Fixed partners, to whom links should be kept up.
    std::vector<std::string> const& partners() const
    {
        return m_partners;
    }

private:
    void send(model::time_point now, std::vector<agent_output>& out);
    std::vector<std::string> next_targets();
    void handle_digest(load_digest const& digest,
                       std::vector<agent_output>& out);

    digest_settings m_settings;
    std::string m_host;
    std::string m_region;
    std::uint64_t m_sequence;
    std::vector<std::uint8_t> m_bytes;
    std::vector<std::string> m_partners;
    std::vector<std::string> m_others;
    std::size_t m_next_other = 0;
    std::map<std::string, std::uint64_t> m_last_sequence;
    model::time_point m_next_send{};
};

} // namespace caperjunction::fleet

#endif
