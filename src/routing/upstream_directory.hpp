#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_DIRECTORY_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_DIRECTORY_HPP

#include "model/time.hpp"
#include "routing/location.hpp"
#include "routing/upstream_state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// The upstreams known to this host.
///
/// Store entries expire during an outage of the store although their upstreams
/// are running. A host that removed them at once would refuse every request for
/// seconds after each outage. A missing entry is therefore dropped at once only
/// in the steady state. After an outage it is dropped if it is still missing
/// `settle_time` after the store's recovery.
///
/// Thread safety: none; owned by one task.
class upstream_directory
{
public:
    /// Returns where a data centre is.
    using location_of = std::function<location(std::string const&)>;

    /// Time until running upstreams have renewed their entries after the
    /// store's recovery, according to the published contract of the store.
    static constexpr model::milliseconds settle_time{2'000};
    /// Above the time after which the store removes the entry of an upstream
    /// that is gone: three intervals of its heartbeats.
    static constexpr model::milliseconds withhold_time{10'000};

    explicit upstream_directory(location_of locate);

    /// Records that the store responds again after an outage.
    void store_regained(model::time_point now);

    /// Adds or updates an entry.
    void put(upstream const& described);

    /// Records an entry that exists but cannot be decoded. It is treated as
    /// removed.
    void put_unreadable(std::string const& id, model::time_point now);

    /// Records the removal of an entry.
    void remove(std::string const& id, model::time_point now);

    /// Records a complete read of the store: upstreams that are not in `ids`
    /// are missing.
    void retain_only(std::vector<std::string> const& ids,
                     model::time_point now);

    /// Records that an upstream is shutting down, whatever its entry says,
    /// until it starts again. Returns whether that is news.
    bool record_leaving(upstream_state& state);

    /// Excludes the upstreams of a data centre from `of_service`, or includes
    /// them again. Returns whether that is a change.
    bool set_evacuated(std::string const& data_centre, bool is_evacuated);

    /// Excludes an upstream from `of_service` whose entry may be older than its
    /// removal, until the entry changes or `withhold_time` is over. Has no
    /// effect on a start of it that was not removed.
    void withhold(std::string const& id, model::time_point now);

    /// Ends that: the entry has changed.
    void release(std::string const& id);

    /// Drops upstreams that are still missing, and ends what is withheld for
    /// long enough. Must be called when `next_drop` is due.
    void drop_missing(model::time_point now);

    /// Returns when the next missing upstream is due; `time_point::max()` if
    /// none is missing.
    model::time_point next_drop() const;

    /// Returns the upstreams of a service that may get requests, ordered by id.
    std::vector<upstream_ptr> const& of_service(std::string_view service) const;

    /// Returns whether an upstream of a service that may get requests has this
    /// software.
    bool has_software(std::string_view service, software wanted) const;

    /// Returns the software of the upstreams of a service that may get
    /// requests, each one once.
    std::vector<software> software_of_service(std::string_view service) const;

    /// Returns the upstreams of a service in the order in which they are
    /// reserved for urgent streams, and sets the `reservation_rank` of each.
    ///
    /// Faster classes come first: a stream occupies a slot of a fast engine for
    /// a shorter time, and keeps its event gaps with more pending prompts.
    /// Within a class, the first upstream of each data centre comes before the
    /// second of any, so that some remain when a region is cut off. Within a
    /// data centre they are ordered by a hash of the id: hosts that know the
    /// same upstreams agree without messages.
    std::vector<upstream_ptr> const&
    reservation_order(std::string_view service) const;

    /// Computes the capacity and speed class of each upstream from the
    /// measurements of all hosts. Must be called once per digest period.
    ///
    /// Without `uses_classes`, all engines stay in the typical class. The order
    /// of reservation changes only with a class. `on_changed` is called for
    /// each engine whose class changes, with the event gap that classes refer
    /// to, in milliseconds; may be null.
    void update_capacities(
        model::time_point now,
        bool uses_classes = true,
        std::function<void(upstream_state const&, double reference_ms)> const&
            on_changed = nullptr);

    /// Returns the capacity of the typical engine of a service, as of the last
    /// `update_capacities`; the default before.
    engine_capacity typical_capacity(std::string_view service) const;

    /// Returns the prompt tokens per second that the engines of a service
    /// prefill, by the classes that they are in.
    double prefill_tokens_per_second(std::string_view service) const;

    /// Returns null if the id is unknown.
    upstream_ptr find(std::string const& id) const;

    /// Calls `visit` for each upstream.
    template <typename Visitor>
    void each(Visitor visit) const
    {
        for (auto const& [id, state] : m_by_id) {
            visit(*state);
        }
    }

    /// Returns the most urgent streams of this host at the upstreams of a
    /// service.
    std::uint32_t own_urgent_streams(std::string_view service) const;

    /// Calls `visit` for the name of each service.
    template <typename Visitor>
    void each_service(Visitor visit) const
    {
        for (auto const& [service, upstreams] : m_by_service) {
            visit(service);
        }
    }

    std::size_t size() const
    {
        return m_by_id.size();
    }

private:
    /// What is remembered of an upstream that was dropped.
    struct departure
    {
        std::uint64_t started = 0;
        bool was_leaving = false;
    };

    void drop(std::string const& id);
    void record_departure(upstream_state const& state);
    bool has_left(upstream const& described) const;
    void rebuild_list(std::string const& service);

    location_of m_locate;
    std::map<std::string, upstream_ptr> m_by_id;
    std::map<std::string, std::vector<upstream_ptr>, std::less<>> m_by_service;
    /// Built on demand; cleared when the service or a class changes.
    mutable std::map<std::string, std::vector<upstream_ptr>, std::less<>>
        m_reservation_orders;
    std::map<std::string, engine_capacity, std::less<>> m_typical_capacities;
    std::map<std::string, model::time_point> m_missing;
    std::map<std::string, model::time_point> m_withheld;
    std::map<std::string, departure> m_departed;
    /// The ids of these, oldest first.
    std::deque<std::string> m_departed_order;
    std::set<std::string> m_evacuated_data_centres;
    model::time_point m_settled_at{};
};

} // namespace caperjunction::routing

#endif
