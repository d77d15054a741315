#include "proxy/store_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Age from which the part of a list that has been read is brought up to date
/// before the next page.
constexpr model::milliseconds max_list_age{5'000};

} // namespace

void store_reader::start_reading()
{
    m_loop.cancel(m_delay_timer);
    m_awaits_peers = false;
    m_is_idle = false;
    m_is_complete = false;
    read_page("");
}

void store_reader::read_page(std::string const& after_key)
{
    if (after_key.empty()) {
        m_last_key.clear();
        m_keys.clear();
        m_pages = 0;
        m_has_lost_changes = false;
    }
    send_request(m_codec.range_target(m_prefix, after_key),
                 read_timeout,
                 [this](int status, std::string const& body) {
                     handle_page(status, body);
                 });
}

void store_reader::handle_page(int status, std::string const& body)
{
    if (status != status_ok) {
        handle_failure(fmt::format("status_{}", status));
        return;
    }
    store_answer page;
    try {
        page = m_codec.read_range(body);
    } catch (std::exception const& unreadable) {
        handle_failure(unreadable.what());
        return;
    }
    bool const is_first = m_last_key.empty();
    if (is_first) {
        // Pages are not a snapshot: changes since the first page are received
        // by the watch.
        if (has_gone_back(page.revision)) {
            ++m_position.era;
            if (m_hooks.on_era) {
                m_hooks.on_era(m_position.era);
            }
        }
        m_position.revision = page.revision;
        m_first_page_at = m_sent_at;
        m_list_as_of = m_sent_at;
    }
    ++m_pages;
    handle_success();
    for (store_item& item : page.items) {
        item.era = m_position.era;
        m_keys.insert(item.key);
        m_hooks.on_item(item);
    }
    if (page.has_more && !page.items.empty()) {
        m_last_key = page.items.back().key;
        continue_list();
        return;
    }
    // What earlier pages hold may have changed since they were requested.
    complete_list(m_list_as_of);
}

// A store that is slow, or turns most calls away, may discard its history
// before the last page is read. The watch that follows would be answered with a
// 410 and the list begin anew, again and again, and be out of date each time.
void store_reader::continue_list()
{
    if (m_has_lost_changes || age_of(m_list_as_of) < max_list_age) {
        read_page(m_last_key);
        return;
    }
    send_request(
        m_codec.watch_target(m_prefix, m_position.revision, immediate_answer),
        read_timeout,
        [this](int status, std::string const& body) {
            handle_changes_in_list(status, body);
        });
}

void store_reader::handle_changes_in_list(int status, std::string const& body)
{
    if (status == status_gone) {
        handle_success();
        m_has_lost_changes = true;
        read_page(m_last_key);
        return;
    }
    auto changes = parse_changes(status, body);
    if (!changes) {
        return;
    }
    handle_success();
    if (has_gone_back(changes->revision)) {
        read_again();
        return;
    }
    // Without them the list is as of before; the watch after it finds the gap.
    m_has_lost_changes = count_missing(*changes) > 0;
    if (!m_has_lost_changes) {
        apply_to_list(*changes);
    }
    read_page(m_last_key);
}

void store_reader::apply_to_list(store_answer& changes)
{
    for (store_item& item : changes.items) {
        item.era = m_position.era;
        if (item.removed) {
            m_keys.erase(item.key);
        } else {
            m_keys.insert(item.key);
        }
        m_hooks.on_item(item);
    }
    m_position.revision = std::max(m_position.revision, changes.revision);
    m_list_as_of = m_sent_at;
}

void store_reader::complete_list(model::time_point as_of)
{
    m_is_complete = true;
    m_confirmed = as_of;
    m_hooks.on_complete({{m_keys.begin(), m_keys.end()},
                         m_position,
                         m_pages,
                         age_of(m_first_page_at),
                         age_of(as_of)});
    m_hooks.on_confirmed(as_of, m_position);
    // Keys that were confirmed as of the begin of a long list may be refused by
    // its end: the store is asked for an immediate answer.
    m_polls_once = m_keeps_watching && age_of(as_of) >= m_watch_wait;
    if (m_polls_once) {
        watch();
    } else {
        idle_or_watch();
    }
}

} // namespace caperjunction::proxy
