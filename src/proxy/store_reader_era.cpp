#include "proxy/store_reader.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time for which an idle reader without history waits for what its peers have
/// read, and the spread of these times.
constexpr model::milliseconds peer_read_time{1'000};
constexpr std::uint32_t peer_read_spread_ms = 1'000;
/// Least time between two complete reads because of missing changes. Shorter
/// than the time in which a change must be in force.
constexpr model::milliseconds gap_read_period{2'000};

} // namespace

// Returns whether the answer belongs to the era of the read or watch.
bool store_reader::enter_era()
{
    std::string const* const text =
        m_codec.era_header.empty() ? nullptr : m_get.header(m_codec.era_header);
    if (text == nullptr) {
        if (m_names_era) {
            fault_era("missing", "");
        }
        return true;
    }
    auto const era = parse_number(*text);
    if (!era) {
        fault_era("unreadable", *text);
        return true;
    }
    if (*era < m_position.era && !m_names_era) {
        // It was inferred here before the store named one.
        fault_era("older", *text);
        return true;
    }
    if (*era < m_position.era) {
        // Another store behind the same address, or one that was reset: what it
        // holds may be older than what this host has.
        fault_era("older", *text);
        handle_failure("older_era");
        return false;
    }
    m_has_era_fault = false;
    bool const is_news = !std::exchange(m_names_era, true);
    bool const has_changed = *era != m_position.era;
    bool const is_first = is_news && !m_position.is_set();
    if (has_changed) {
        m_position = {0, *era};
    }
    if (m_hooks.on_era && (is_news || has_changed)) {
        m_hooks.on_era(*era);
    }
    if (is_first || !has_changed) {
        return true;
    }
    handle_success();
    read_again();
    return false;
}

void store_reader::skip_to(routing::store_position at)
{
    if (!m_is_idle || at <= m_position) {
        return;
    }
    m_position = at;
    if (std::exchange(m_awaits_peers, false)) {
        m_loop.cancel(m_delay_timer);
    }
}

void store_reader::adopt_era(std::uint64_t era)
{
    if (m_names_era || m_is_idle || era <= m_position.era) {
        return;
    }
    m_position = {0, era};
    m_get.stop();
    start_reading();
}

// Returns whether the store, which names no era, has gone back behind what this
// reader has.
bool store_reader::has_gone_back(std::uint64_t revision) const
{
    return !m_names_era && revision < m_position.revision;
}

void store_reader::fault_era(std::string_view reason, std::string const& value)
{
    if (!std::exchange(m_has_era_fault, true) && m_hooks.on_era_fault) {
        m_hooks.on_era_fault({reason, value, m_position.era});
    }
}

void store_reader::read_again()
{
    bool const has_other_watchers = m_is_complete && !m_keeps_watching;
    if (!has_other_watchers) {
        start_reading();
        return;
    }
    m_polls_once = false;
    m_is_idle = true;
    m_awaits_peers = true;
    m_loop.cancel(m_delay_timer);
    m_delay_timer = m_loop.after(
        peer_read_time + model::milliseconds(m_random() % peer_read_spread_ms),
        [this] {
            start_reading();
        });
}

// Each change has a revision of its own, and this reader sees all keys: a
// revision without a change in the answer is a change that was not received.
std::size_t store_reader::count_missing(store_answer const& changes) const
{
    std::set<std::uint64_t> received;
    for (store_item const& item : changes.items) {
        if (item.revision > m_position.revision
            && item.revision <= changes.revision) {
            received.insert(item.revision);
        }
    }
    std::uint64_t const expected =
        changes.revision - std::min(changes.revision, m_position.revision);
    return static_cast<std::size_t>(expected) - received.size();
}

// A reader that moved on would never hear of what is missing, and would confirm
// what it hasn't read. A store that has such answers all the time is read again
// now and then only; in between the reader continues from where it was.
void store_reader::handle_gap(store_answer const& changes, std::size_t missing)
{
    if (m_hooks.on_gap) {
        m_hooks.on_gap({m_position.revision, changes.revision, missing});
    }
    auto const now = m_loop.now();
    if (now < m_next_gap_read) {
        auto const left =
            std::chrono::ceil<model::milliseconds>(m_next_gap_read - now);
        continue_after(std::min(batch_time, left));
        return;
    }
    m_next_gap_read = now + gap_read_period;
    read_again();
}

} // namespace caperjunction::proxy
