#include "fleet/configuration.hpp"

#include <utility>

namespace caperjunction::fleet {
namespace {

/// Returns the bodies that may be put in force, newest first.
std::vector<checked_value const*> candidates(value_slot const& entry)
{
    std::vector<checked_value const*> found;
    for (checked_value const* candidate :
         {&entry.latest, &entry.fallback, &entry.in_force}) {
        bool const is_lower = candidate->revision < entry.in_force.revision;
        bool const is_duplicate =
            !found.empty() && found.back()->revision == candidate->revision;
        if (candidate->body != nullptr && !is_lower && !is_duplicate) {
            found.push_back(candidate);
        }
    }
    return found;
}

} // namespace

void configuration::apply(published_value value)
{
    if (value == published_value::plans
        || value == published_value::entitlements) {
        apply_lists();
    } else {
        apply_single(value);
    }
}

// Two lists are published one after the other, and either may be invalid. The
// newest pair that passes the checks together comes into force. If only one
// list is invalid, the other still advances.
void configuration::apply_lists()
{
    value_slot& plans = slot(published_value::plans);
    value_slot& entitlements = slot(published_value::entitlements);
    auto const left = candidates(plans);
    auto const right = candidates(entitlements);
    std::vector<lists::fault> faults;
    for (std::size_t sum = 0; sum + 1 < left.size() + right.size(); ++sum) {
        for (std::size_t index = 0; index <= sum; ++index) {
            if (index >= left.size() || sum - index >= right.size()) {
                continue;
            }
            if (try_apply_lists(*left[index], *right[sum - index], faults)) {
                record_faults(published_value::plans, faults);
                record_faults(published_value::entitlements, std::move(faults));
                return;
            }
        }
    }
    record_faults(published_value::plans, faults);
    record_faults(published_value::entitlements, std::move(faults));
}

bool configuration::try_apply_lists(checked_value const& plans,
                                    checked_value const& entitlements,
                                    std::vector<lists::fault>& faults)
{
    value_slot& plans_entry = slot(published_value::plans);
    value_slot& entitlements_entry = slot(published_value::entitlements);
    if (plans.revision == plans_entry.in_force.revision
        && entitlements.revision == entitlements_entry.in_force.revision) {
        return true;
    }
    value_bodies bodies;
    bodies.plans = plans.body.get();
    bodies.entitlements = entitlements.body.get();
    auto found = m_settings.check(bodies);
    if (!found.empty()) {
        // Only the faults of the newest pair are reported.
        faults = faults.empty() ? std::move(found) : std::move(faults);
        return false;
    }
    lists_in_force const applied{plans, entitlements};
    plans_entry.in_force = applied.plans;
    entitlements_entry.in_force = applied.entitlements;
    m_out->push_back(applied);
    return true;
}

void configuration::apply_single(published_value value)
{
    value_slot& entry = slot(value);
    std::vector<lists::fault> faults;
    for (checked_value const* candidate : candidates(entry)) {
        if (candidate->revision == entry.in_force.revision) {
            break;
        }
        value_bodies bodies;
        auto const*& body =
            value == published_value::hosts ? bodies.hosts : bodies.upstreams;
        body = candidate->body.get();
        auto found = m_settings.check(bodies);
        if (found.empty()) {
            checked_value const applied = *candidate;
            entry.in_force = applied;
            m_out->push_back(value_in_force{value, applied});
            break;
        }
        faults = faults.empty() ? std::move(found) : std::move(faults);
    }
    record_faults(value, std::move(faults));
}

void configuration::record_faults(published_value value,
                                  std::vector<lists::fault> faults)
{
    value_slot& entry = slot(value);
    if (entry.latest.revision == entry.in_force.revision) {
        entry.faults.clear();
        entry.faulty_revision = 0;
        return;
    }
    if (entry.faulty_revision != entry.latest.revision) {
        entry.faulty_revision = entry.latest.revision;
        entry.faulty_since = m_now;
    }
    entry.faults = std::move(faults);
}

void configuration::report_faults()
{
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        value_slot& entry = m_slots[index];
        bool const lasted =
            m_now - entry.faulty_since >= m_settings.fault_report_delay;
        if (entry.faults.empty() || !lasted
            || entry.reported_revision == entry.faulty_revision) {
            continue;
        }
        entry.reported_revision = entry.faulty_revision;
        m_out->push_back(value_refused{static_cast<published_value>(index),
                                       entry.faulty_revision,
                                       entry.faults});
    }
}

void configuration::broadcast_announce()
{
    config_announce const own = announcement();
    if (own == m_last_broadcast) {
        return;
    }
    m_last_broadcast = own;
    for (std::string const& name : m_neighbours) {
        m_out->push_back(send_message{name, own});
    }
}

} // namespace caperjunction::fleet
