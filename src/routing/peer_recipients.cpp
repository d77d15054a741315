#include "routing/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Period of digests to hosts that do not respond: they may have restarted.
constexpr model::milliseconds contact_period{1'000};
/// The same while none has responded: all hosts may have started together, and
/// a host without peers places without their loads.
constexpr model::milliseconds first_contact_period{200};
/// Period of digests from store watchers to other data centres, in addition to
/// those for each change. They renew the key leases there.
constexpr model::milliseconds store_watcher_period{300};
/// Period of loads without a significant change to other data centres.
constexpr model::milliseconds remote_load_period{800};
/// Period of neighbour lists to the same host in the steady state.
constexpr model::milliseconds neighbours_period{500};
constexpr std::size_t max_neighbours_sent = 16;
/// The same for a host that knows nobody yet.
constexpr std::size_t max_neighbours_replied = 48;
/// Near hosts that a change is sent to at once and that other hosts may fetch
/// it from.
constexpr std::size_t recipients_per_change = 12;
/// Interval between digests in a small fleet. A prefill takes some 100 ms, and
/// older loads lead to bad placements.
constexpr model::milliseconds min_digest_period{100};
/// Approximate maximum of datagrams with loads that a host receives per second.
/// It bounds the processor time for reading them in a large data centre.
constexpr std::size_t max_datagrams_per_second = 240;

} // namespace

model::milliseconds peer_table::digest_period() const
{
    model::milliseconds const load_period(1'000 * near_count()
                                          / max_datagrams_per_second);
    return std::max(min_digest_period, load_period);
}

// A host without others in its data centre has rank 0 there and is a gateway:
// it contacts the seeds, which send it its neighbours.
bool peer_table::is_worth_contacting(peer const& known) const
{
    return !is_large() || is_in_data_centre(known)
           || (is_gateway() && (known.is_seed || known.digest.is_gateway));
}

bool peer_table::is_due_remote(peer const& known,
                               model::time_point now,
                               store_revisions const& own) const
{
    if (!is_gateway() || !known.digest.is_gateway) {
        return false;
    }
    auto const period =
        is_store_watcher() ? store_watcher_period : contact_period;
    return now - known.sent_at >= period
           || !known.sent_revisions.has_same_changes_as(own);
}

// Within a data centre a digest costs only the time to read it. Traffic between
// data centres is billed.
bool peer_table::is_due_for_loads(peer const& known,
                                  model::time_point now,
                                  bool has_load_change) const
{
    return has_load_change || is_in_data_centre(known)
           || now - known.sent_at >= remote_load_period;
}

// A digest replaces the previous one of its sender. A recipient that places
// requests by this host's loads needs them in every digest.
digest_kind peer_table::kind_for(peer const& known) const
{
    if (is_near(known)) {
        return digest_kind::loads;
    }
    return known.is_live && known.digest.is_aggregator && is_aggregator()
               ? digest_kind::aggregated_loads
               : digest_kind::presence;
}

peer_table::recipient peer_table::record_sent(model::endpoint const& at,
                                              peer& known,
                                              model::time_point now,
                                              store_revisions const& own) const
{
    known.sent_at = now;
    known.sent_revisions = own;
    bool const is_reply = std::exchange(known.reply_requested, false);
    recipient result{at, kind_for(known), !known.is_live};
    if (is_reply || now - known.neighbours_sent_at >= neighbours_period) {
        known.neighbours_sent_at = now;
        result.max_neighbours =
            is_reply ? max_neighbours_replied : max_neighbours_sent;
    }
    return result;
}

std::vector<peer_table::recipient> peer_table::recipients(
    model::time_point now, store_revisions const& own, bool has_load_change)
{
    auto const period = alive() == 0 ? first_contact_period : contact_period;
    std::vector<recipient> due;
    for (auto& [address, known] : m_peers) {
        bool is_due = known.reply_requested;
        if (!known.is_live) {
            is_due =
                is_worth_contacting(known) && now - known.sent_at >= period;
        } else if (kind_for(known) != digest_kind::presence) {
            is_due = is_due || !known.sent_revisions.has_same_changes_as(own)
                     || is_due_for_loads(known, now, has_load_change);
        } else {
            is_due = is_due || is_due_remote(known, now, own);
        }
        if (is_due) {
            due.push_back(record_sent(address, known, now, own));
        }
    }
    return due;
}

std::vector<peer_table::recipient>
peer_table::recipients_of_change(model::time_point now,
                                 store_revisions const& own,
                                 std::uint64_t random_value)
{
    std::size_t const neighbours = near_count();
    std::size_t index = 0;
    std::vector<recipient> due;
    for (auto& [address, known] : m_peers) {
        bool is_due = false;
        if (is_near(known)) {
            is_due =
                (index + random_value) % neighbours < recipients_per_change;
            ++index;
        } else {
            is_due = known.is_live && is_due_remote(known, now, own);
        }
        if (is_due) {
            due.push_back(record_sent(address, known, now, own));
        }
    }
    return due;
}

std::vector<neighbour>
peer_table::neighbours_for(model::endpoint const& to,
                           std::size_t max_count,
                           std::uint64_t random_value) const
{
    auto const receiver = m_peers.find(to);
    std::vector<neighbour> in_data_centre;
    std::vector<neighbour> gateways;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_live || address == to) {
            continue;
        }
        neighbour const entry{
            address, known.digest.data_centre, known.digest.is_gateway};
        bool const shares_data_centre =
            receiver != m_peers.end() && receiver->second.has_known_data_centre
            && receiver->second.digest.data_centre == entry.data_centre;
        if (shares_data_centre || !is_large()) {
            in_data_centre.push_back(entry);
        } else if (entry.is_gateway) {
            gateways.push_back(entry);
        }
    }
    std::vector<neighbour> list;
    auto const append = [&list,
                         random_value](std::vector<neighbour> const& from,
                                       std::size_t limit) {
        std::size_t const count = std::min(from.size(), limit);
        for (std::size_t step = 0; step < count; ++step) {
            list.push_back(from[(random_value + step) % from.size()]);
        }
    };
    append(gateways, max_count / 2);
    append(in_data_centre, max_count - list.size());
    return list;
}

} // namespace caperjunction::routing
