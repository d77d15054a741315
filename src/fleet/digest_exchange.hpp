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

/// Sends this host's load digest to peers and reports theirs, within a
/// bandwidth budget.
///
/// Up to `fan_out` peers all receive every digest. In a larger fleet half of
/// the fan-out goes to fixed partners in the region, so that their loads are as
/// current as in a small fleet. The other half rotates over all remaining
/// hosts, so that every host eventually learns of a tier that is refused
/// anywhere.
///
/// Thread safety: none; owned by one task.
class digest_exchange
{
public:
    /// Sequence numbers start at `generation`, above those of any earlier
    /// process.
    digest_exchange(digest_settings const& settings,
                    std::string host,
                    std::string region,
                    std::uint64_t generation);

    /// Handles one event at time `now` and appends the outputs to `out`.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// Chooses the partners among the live hosts of `view`.
    void set_view(host_view const& view);

    /// Returns the fixed partners, to which links should be kept open.
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
