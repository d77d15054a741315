#include "routing/peer_table.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// A silent host is asked this often: it may have started anew.
constexpr model::milliseconds ask_period{1'000};
/// Hosts that watch the store tell other data centres this often, beside each
/// change: it confirms the keys there.
constexpr model::milliseconds reader_period{300};
/// How often loads that are no news are told to other data centres.
constexpr model::milliseconds far_period{800};
/// How often a host that is settled is told of the same neighbours.
constexpr model::milliseconds naming_period{500};
/// Hosts nearby that are told of a change at once, and may be asked for it.
constexpr std::size_t told_of_change = 12;

} // namespace

// A host alone in its data centre ranks first there and relays: it asks the
// seeds, and these name its neighbours.
bool peer_table::is_worth_asking(peer const& known) const
{
    return !is_large() || is_here(known)
           || (relays() && (known.is_seed || known.told.relays));
}

bool peer_table::is_due_far(peer const& known,
                            model::time_point now,
                            store_revisions const& own) const
{
    if (!relays() || !known.told.relays) {
        return false;
    }
    auto const period = is_reader() ? reader_period : ask_period;
    return now - known.asked_at >= period
           || !known.told_known.has_changes_of(own);
}

// Within a data centre digests cost nothing but the time to read them; what
// crosses between data centres is paid for.
bool peer_table::is_due_with_loads(peer const& known,
                                   model::time_point now,
                                   bool is_news) const
{
    return is_news || is_here(known) || now - known.asked_at >= far_period;
}

// A digest replaces the one before it: who places by what this host says of
// loads must be told of them each time.
share peer_table::share_of(peer const& known) const
{
    if (is_near(known)) {
        return share::loads;
    }
    return known.is_heard && known.told.speaks && speaks() ? share::sums
                                                           : share::beliefs;
}

peer_table::listener peer_table::tell(model::endpoint const& at,
                                      peer& known,
                                      model::time_point now,
                                      store_revisions const& own) const
{
    known.asked_at = now;
    known.told_known = own;
    known.wants_answer = false;
    listener made{at, share_of(known), !known.is_heard};
    made.wants_names = now - known.named_at >= naming_period;
    if (made.wants_names) {
        known.named_at = now;
    }
    return made;
}

std::vector<peer_table::listener> peer_table::audience(
    model::time_point now, store_revisions const& own, bool is_news)
{
    std::vector<listener> told;
    for (auto& [address, known] : m_peers) {
        bool is_due = known.wants_answer;
        if (!known.is_heard) {
            is_due =
                is_worth_asking(known) && now - known.asked_at >= ask_period;
        } else if (share_of(known) != share::beliefs) {
            is_due = is_due || !known.told_known.has_changes_of(own)
                     || is_due_with_loads(known, now, is_news);
        } else {
            is_due = is_due || is_due_far(known, now, own);
        }
        if (is_due) {
            told.push_back(tell(address, known, now, own));
        }
    }
    return told;
}

std::vector<peer_table::listener> peer_table::audience_of_change(
    model::time_point now, store_revisions const& own, std::uint64_t draw)
{
    std::size_t const neighbours = nearby();
    std::size_t place = 0;
    std::vector<listener> told;
    for (auto& [address, known] : m_peers) {
        bool is_due = false;
        if (is_near(known)) {
            is_due = (place + draw) % neighbours < told_of_change;
            ++place;
        } else {
            is_due = known.is_heard && is_due_far(known, now, own);
        }
        if (is_due) {
            told.push_back(tell(address, known, now, own));
        }
    }
    return told;
}

std::vector<neighbour> peer_table::neighbours_for(model::endpoint const& to,
                                                  std::size_t most,
                                                  std::uint64_t draw) const
{
    auto const receiver = m_peers.find(to);
    std::vector<neighbour> there;
    std::vector<neighbour> relaying;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_heard || address == to) {
            continue;
        }
        neighbour const told{
            address, known.told.data_centre, known.told.relays};
        bool const is_of_its_centre =
            receiver != m_peers.end() && receiver->second.is_placed
            && receiver->second.told.data_centre == told.data_centre;
        if (is_of_its_centre || !is_large()) {
            there.push_back(told);
        } else if (told.relays) {
            relaying.push_back(told);
        }
    }
    std::vector<neighbour> list;
    auto const take = [&list, draw](std::vector<neighbour> const& from,
                                    std::size_t most_of_it) {
        std::size_t const count = std::min(from.size(), most_of_it);
        for (std::size_t step = 0; step < count; ++step) {
            list.push_back(from[(draw + step) % from.size()]);
        }
    };
    take(relaying, most / 2);
    take(there, most - list.size());
    return list;
}

} // namespace caperjunction::routing
