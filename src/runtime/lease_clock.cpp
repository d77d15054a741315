#include "runtime/lease_clock.hpp"

#include "model/error.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::runtime {
namespace {

clock_source first_readable(std::vector<clock_source> const& sources)
{
    std::string names;
    for (clock_source const& source : sources) {
        if (source.read()) {
            return source;
        }
        names += fmt::format("{}{}", names.empty() ? "" : ", ", source.name);
    }
    throw model::error(
        model::error_kind::unavailable,
        fmt::format("no clock that counts suspended time can be read: {}",
                    names),
        "allow clock_gettime with CLOCK_BOOTTIME, without which keys can't be "
        "refused in time after they were revoked");
}

} // namespace

lease_clock::lease_clock(clock steady, std::vector<clock_source> const& sources)
    : m_steady(std::move(steady))
    , m_source(first_readable(sources))
{
    // The lead at the start is no suspended time.
    if (auto const at_start = m_source.read()) {
        m_lead = *at_start - m_steady.now();
    }
}

model::time_point lease_clock::now()
{
    auto const before = m_steady.now();
    auto const read = m_source.read();
    // The process may have lost the processor in between.
    auto const after = m_steady.now();
    if (read) {
        count_lead(*read - after, *read - before);
    }
    set_readable(read.has_value());
    return after + m_suspended;
}

// The lead at the read was between `lead` and `max_lead`.
void lease_clock::count_lead(duration lead, duration max_lead)
{
    if (lead > m_lead) {
        m_suspended += lead - m_lead;
        m_lead = lead;
        return;
    }
    auto const behind = m_lead - max_lead;
    if (behind <= tolerance) {
        return;
    }
    // Suspended time is counted from the new lead on.
    m_lead = max_lead;
    bool const is_first = m_total_behind == duration{0};
    m_total_behind += behind;
    if (is_first && m_hooks.on_behind) {
        m_hooks.on_behind(
            std::chrono::duration_cast<model::milliseconds>(behind));
    }
}

void lease_clock::set_readable(bool is_readable)
{
    if (std::exchange(m_is_readable, is_readable) == is_readable) {
        return;
    }
    auto const& hook = is_readable ? m_hooks.on_regained : m_hooks.on_lost;
    if (hook) {
        hook();
    }
}

} // namespace caperjunction::runtime
