#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_BOOKING_FLEET_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_BOOKING_FLEET_HPP

#include "fleet/claim_settings.hpp"
#include "fleet/claim_view.hpp"
#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"
#include "model/host.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// Number of bookings requested and run in one history.
struct booking_count
{
    std::size_t asked = 0;
    std::size_t ran = 0;
};

/// Hosts with the production state machines. In every `period` of virtual time
/// a random running host receives one booking with a new key.
///
/// Thread safety: none.
class booking_fleet
{
public:
    static constexpr model::milliseconds period{10'000};

    booking_fleet(fleet::claim_settings const& settings, std::uint64_t seed);

    /// Starts a process and adds it to the list. Only processes of the first
    /// fleet may vote immediately.
    void start(model::host const& host, bool first_fleet);
    /// Ends a process without notice; it stays on the list.
    void crash(std::string const& name);
    /// Announces a planned stop to a process; it stays on the list.
    void plan_stop(std::string const& name);
    /// Removes a host from the list.
    void unlist(std::string const& name);
    /// Advances by one period: hosts receive the list, then one booking is
    /// requested.
    void advance();

    booking_count const& count() const
    {
        return m_count;
    }

    std::vector<std::string> running() const;

    /// Whether the service that publishes the list is available.
    bool service_up = true;
    /// Returns whether a message from the first host reaches the second.
    std::function<bool(std::string const&, std::string const&)> can_reach;
    /// If false, a host that leaves or loses its place in a witness set does
    /// not transfer its votes.
    bool hand_over_enabled = true;

private:
    struct process
    {
        fleet::witness witness;
        fleet::claimant claimant;
    };

    struct queued_message
    {
        std::string from;
        fleet::claim_send send;
    };

    void handle_event(std::string const& host,
                      fleet::witness_event const& event);
    bool handle_event(std::string const& host,
                      fleet::claimant_event const& event);
    bool deliver_messages();
    void publish();
    void book();

    fleet::claim_settings m_settings;
    std::mt19937_64 m_random;
    model::time_point m_now{std::chrono::hours(1)};
    std::map<std::string, process> m_processes;
    std::vector<model::host> m_listed;
    std::uint64_t m_revision = 0;
    bool m_changed = false;
    std::shared_ptr<fleet::claim_view const> m_view;
    std::deque<queued_message> m_messages;
    std::uint64_t m_generations = 0;
    std::uint64_t m_keys = 0;
    booking_count m_count;
};

} // namespace caperjunction::claims_explorer

#endif
