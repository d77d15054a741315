#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_DIRECTORY_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_DIRECTORY_HPP

#include "model/time.hpp"
#include "routing/upstream_state.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// The upstreams that this host believes in.
///
/// Entries lapse while the store is away although their upstreams live: a
/// host that dropped them at once would refuse every request for seconds
/// after each outage. So what is missing is dropped at once only while the
/// store is settled, and else when it is still missing `settle_time` after
/// the store's return.
///
/// Thread safety: none; owned by one task.
class upstream_directory
{
public:
    /// Tells how far a data centre is from this host.
    using distance_of = std::function<distance(std::string const&)>;

    explicit upstream_directory(distance_of measure);

    /// The store answers again after a time in which it didn't.
    void store_regained(model::time_point now);

    /// An entry was written.
    void put(upstream const& described);

    /// The entry is there and can't be read: it names nothing to use.
    void put_unreadable(std::string const& id, model::time_point now);

    /// An entry was removed.
    void remove(std::string const& id, model::time_point now);

    /// The store was read anew: what is not in `ids` is missing.
    void retain_only(std::vector<std::string> const& ids,
                     model::time_point now);

    /// Drops what is still missing; to be called when `next_drop` is due.
    void drop_missing(model::time_point now);

    /// When something missing is to be dropped; the far future if nothing is.
    model::time_point next_drop() const;

    /// All of a service that may get requests, by id.
    std::vector<upstream_ptr> const& of_service(std::string_view service) const;

    /// All of a service in the order in which they are taken for urgent
    /// streams; `lane_place` of each is set.
    ///
    /// The first of each data centre come before the second, so that some are
    /// left when a region is cut off, and in each a hash of the id decides:
    /// hosts that know the same upstreams agree without a message.
    std::vector<upstream_ptr> const&
    reservation_order(std::string_view service) const;

    /// Null if there is none.
    upstream_ptr find(std::string const& id) const;

    /// Calls `visit` with each upstream.
    template <typename Visitor>
    void each(Visitor visit) const
    {
        for (auto const& [id, state] : m_by_id) {
            visit(*state);
        }
    }

    std::size_t size() const
    {
        return m_by_id.size();
    }

private:
    void drop(std::string const& id);
    void rebuild_list(std::string const& service);

    distance_of m_measure;
    std::map<std::string, upstream_ptr> m_by_id;
    std::map<std::string, std::vector<upstream_ptr>, std::less<>> m_by_service;
    /// Made when it is asked for; empty after a change.
    mutable std::map<std::string, std::vector<upstream_ptr>, std::less<>>
        m_reservation_orders;
    std::map<std::string, model::time_point> m_missing;
    model::time_point m_settled_at{};
};

} // namespace caperjunction::routing

#endif
