#include "fleet/configuration.hpp"

#include <utility>

namespace caperjunction::fleet {
namespace {

/// The bodies that may follow what is in force, the newest first.
std::vector<checked_value const*> candidates(value_slot const& kept)
{
    std::vector<checked_value const*> found;
    for (checked_value const* offered :
         {&kept.latest, &kept.fallback, &kept.in_force}) {
        bool const lower = offered->revision < kept.in_force.revision;
        bool const twice =
            !found.empty() && found.back()->revision == offered->revision;
        if (offered->body != nullptr && !lower && !twice) {
            found.push_back(offered);
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

// Two lists are published one after the other, and either may be broken.
// The newest pair that checks together is put in force; if only one list is
// broken, the other still moves on.
void configuration::apply_lists()
{
    value_slot& plans = slot(published_value::plans);
    value_slot& entitlements = slot(published_value::entitlements);
    auto const left = candidates(plans);
    auto const right = candidates(entitlements);
    std::vector<lists::fault> faults;
    for (std::size_t sum = 0; sum + 1 < left.size() + right.size(); ++sum) {
        for (std::size_t place = 0; place <= sum; ++place) {
            if (place >= left.size() || sum - place >= right.size()) {
                continue;
            }
            if (try_lists(*left[place], *right[sum - place], faults)) {
                record_faults(published_value::plans, faults);
                record_faults(published_value::entitlements, std::move(faults));
                return;
            }
        }
    }
    record_faults(published_value::plans, faults);
    record_faults(published_value::entitlements, std::move(faults));
}

bool configuration::try_lists(checked_value const& plans,
                              checked_value const& entitlements,
                              std::vector<lists::fault>& faults)
{
    value_slot& kept_plans = slot(published_value::plans);
    value_slot& kept_entitlements = slot(published_value::entitlements);
    if (plans.revision == kept_plans.in_force.revision
        && entitlements.revision == kept_entitlements.in_force.revision) {
        return true;
    }
    value_bodies bodies;
    bodies.plans = plans.body.get();
    bodies.entitlements = entitlements.body.get();
    auto found = m_settings.check(bodies);
    if (!found.empty()) {
        // The newest pair's faults are the ones to mend.
        faults = faults.empty() ? std::move(found) : std::move(faults);
        return false;
    }
    lists_in_force const applied{plans, entitlements};
    kept_plans.in_force = applied.plans;
    kept_entitlements.in_force = applied.entitlements;
    m_out->push_back(applied);
    return true;
}

void configuration::apply_single(published_value value)
{
    value_slot& kept = slot(value);
    std::vector<lists::fault> faults;
    for (checked_value const* offered : candidates(kept)) {
        if (offered->revision == kept.in_force.revision) {
            break;
        }
        value_bodies bodies;
        auto const*& body =
            value == published_value::hosts ? bodies.hosts : bodies.upstreams;
        body = offered->body.get();
        auto found = m_settings.check(bodies);
        if (found.empty()) {
            checked_value const applied = *offered;
            kept.in_force = applied;
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
    value_slot& kept = slot(value);
    if (kept.latest.revision == kept.in_force.revision) {
        kept.faults.clear();
        kept.faulty_revision = 0;
        return;
    }
    if (kept.faulty_revision != kept.latest.revision) {
        kept.faulty_revision = kept.latest.revision;
        kept.faulty_since = m_now;
    }
    kept.faults = std::move(faults);
}

void configuration::report_faults()
{
    for (std::size_t place = 0; place < m_slots.size(); ++place) {
        value_slot& kept = m_slots[place];
        bool const lasted =
            m_now - kept.faulty_since >= m_settings.fault_report_delay;
        if (kept.faults.empty() || !lasted
            || kept.reported_revision == kept.faulty_revision) {
            continue;
        }
        kept.reported_revision = kept.faulty_revision;
        m_out->push_back(value_refused{static_cast<published_value>(place),
                                       kept.faulty_revision,
                                       kept.faults});
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
