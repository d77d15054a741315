#ifndef CAPERJUNCTION_FLEET_CONFIGURATION_HPP
#define CAPERJUNCTION_FLEET_CONFIGURATION_HPP

#include "fleet/agent_event.hpp"
#include "fleet/agent_output.hpp"
#include "fleet/configuration_settings.hpp"
#include "fleet/value_slot.hpp"
#include "model/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Distributes and validates the published values of this host.
///
/// Two watchers per region hold long polls at the service. All other hosts
/// learn of a new revision from their neighbours' announcements and fetch it
/// from one that has it. Only values that pass the checks come into force, and
/// never a lower revision than before, in whatever order messages arrive.
///
/// Thread safety: none; owned by one task.
class configuration
{
public:
    /// \pre settings.check is set.
    explicit configuration(configuration_settings settings);

    /// Handles one event at time `now` and appends the outputs to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// Sets the hosts that receive announcements of new revisions.
    void set_neighbours(std::vector<std::string> const& neighbours)
    {
        m_neighbours = neighbours;
    }

    /// Updates whether this host is a watcher, and drops the announcements of
    /// lost and unlisted hosts.
    void set_view(host_view const& view);

    config_announce announcement() const;

    bool ready() const
    {
        return m_ready;
    }

    /// Returns whether a peer has announced a higher revision than this host
    /// has.
    bool behind_peers() const;

    bool is_watcher() const
    {
        return m_is_watcher;
    }

private:
    using outputs = std::vector<agent_output>;

    // configuration.cpp: events and messages.
    void on_event(message_received const& event);
    void on_event(hosts_listed const& event);
    void on_event(value_read const& event);
    void on_event(read_ended const& event);
    void on_event(agent_tick const& event);

    template <typename Other>
    void on_event(Other const&)
    {
    }

    void handle_announce(std::string const& from,
                         config_announce const& announced);
    void handle_fetch(std::string const& from, config_fetch const& fetch);
    void handle_value(std::string const& from, config_value const& message);
    void store_candidate(published_value value, checked_value candidate);
    bool rebuild(published_value value,
                 config_value const& message,
                 checked_value& rebuilt);
    void record_deltas(value_slot& entry, config_value const& message);

    // configuration_read.cpp: reads from the service and peers.
    void watch(published_value value, model::milliseconds wait);
    void watch_all(model::milliseconds wait);
    void schedule_direct_read();
    bool peers_are_silent() const;
    void poll_service();
    model::milliseconds jittered(model::milliseconds mean);
    void fetch_missing();
    void fetch_missing(published_value value);
    void expire_fetches();
    bool has_caught_up() const;
    void check_ready();

    // configuration_check.cpp: validation.
    void apply(published_value value);
    void apply_lists();
    bool try_apply_lists(checked_value const& plans,
                         checked_value const& entitlements,
                         std::vector<lists::fault>& faults);
    void apply_single(published_value value);
    void record_faults(published_value value, std::vector<lists::fault> faults);
    void report_faults();
    void broadcast_announce();

    value_slot& slot(published_value value)
    {
        return m_slots[index_of(value)];
    }

    value_slot const& slot_of(published_value value) const
    {
        return m_slots[index_of(value)];
    }

    configuration_settings m_settings;
    std::mt19937_64 m_random;
    std::array<value_slot, published_value_count> m_slots;
    std::vector<std::string> m_neighbours;
    std::map<std::string, config_announce> m_announced;
    config_announce m_last_broadcast;
    bool m_is_watcher = false;
    bool m_ready = false;
    std::uint64_t m_listed_revision = 0;
    bool m_started = false;
    model::time_point m_start_deadline{};
    model::time_point m_last_announce{};
    model::time_point m_next_direct_read{};

    // Valid during `handle`.
    model::time_point m_now{};
    outputs* m_out = nullptr;
};

} // namespace caperjunction::fleet

#endif
