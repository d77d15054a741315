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

/// How bookings fared in one history.
struct booking_count
{
    std::size_t asked = 0;
    std::size_t ran = 0;
};

/// Hosts with the real state machines that take a booking under a new key
/// every `period` of virtual time, each at a random host that runs.
///
/// Thread safety: none.
class booking_fleet
{
public:
    static constexpr model::milliseconds period{10'000};

    booking_fleet(fleet::claim_settings const& settings, std::uint64_t seed);

    /// Starts a process and lists it; only the fleet's first ones may vote
    /// at once.
    void start(model::host const& host, bool first_fleet);
    /// Ends a process without notice; the list names it on.
    void crash(std::string const& name);
    /// Tells a process that it is to stop; the list names it on.
    void plan_stop(std::string const& name);
    /// Takes a host off the list.
    void unlist(std::string const& name);
    /// One period: hosts hear of the list, then a booking is asked for.
    void pass();

    booking_count const& count() const
    {
        return m_count;
    }

    std::vector<std::string> running() const;

    /// Whether the service that has the list answers.
    bool service_up = true;
    /// Whether a message gets through.
    std::function<bool(std::string const&, std::string const&)> reaches;
    /// Off: a host that leaves or loses a place gives no votes away.
    bool hands_over = true;

private:
    struct process
    {
        fleet::witness witness;
        fleet::claimant claimant;
    };

    struct letter
    {
        std::string from;
        fleet::claim_send send;
    };

    void tell(std::string const& host, fleet::witness_event const& event);
    bool tell(std::string const& host, fleet::claimant_event const& event);
    bool settle();
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
    std::deque<letter> m_letters;
    std::uint64_t m_generations = 0;
    std::uint64_t m_keys = 0;
    booking_count m_count;
};

} // namespace caperjunction::claims_explorer

#endif
