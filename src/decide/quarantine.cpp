#include "decide/quarantine.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// One crash may be chance; a second of the same fingerprint, kept apart from
// other suspects, is not.
constexpr std::uint32_t crashes_for_quarantine = 2;
// Long enough that its caller has given up; it ends by itself, since engines
// are mended by new versions that this host doesn't hear of.
constexpr model::milliseconds quarantine_time{600'000};
constexpr model::milliseconds suspicion_time{300'000};
// Records kept, however many engines crash.
constexpr std::size_t max_records = 4096;

} // namespace

bool quarantine::crashed(std::uint64_t fingerprint, model::time_point now)
{
    if (m_records.size() >= max_records
        && m_records.find(fingerprint) == m_records.end()) {
        return false;
    }
    suspect_record& record = m_records[fingerprint];
    ++record.crashes;
    record.last = now;
    record.running_on = 0;
    if (record.crashes < crashes_for_quarantine) {
        return false;
    }
    record.until = now + quarantine_time;
    return true;
}

void quarantine::cleared(std::uint64_t fingerprint)
{
    m_records.erase(fingerprint);
}

void quarantine::running(std::uint64_t fingerprint, std::uint32_t engine_hash)
{
    auto const found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.running_on = engine_hash;
    }
}

bool quarantine::suspected(std::uint64_t fingerprint) const
{
    return m_records.find(fingerprint) != m_records.end();
}

model::milliseconds quarantine::remaining(std::uint64_t fingerprint,
                                          model::time_point now) const
{
    auto const found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.until <= now) {
        return model::milliseconds{0};
    }
    return std::chrono::ceil<model::milliseconds>(found->second.until - now);
}

void quarantine::learn(std::uint64_t fingerprint,
                       std::uint32_t crashes,
                       model::milliseconds remaining,
                       model::time_point now)
{
    bool const known = m_records.find(fingerprint) != m_records.end();
    if (!known && m_records.size() >= max_records) {
        return;
    }
    suspect_record& record = m_records[fingerprint];
    record.crashes = std::max(record.crashes, crashes);
    record.last = std::max(record.last, now);
    // A peer's bytes may be wrong: no quarantine beyond the longest one.
    auto const until = now + std::min(remaining, quarantine_time);
    if (remaining.count() > 0) {
        record.until = std::max(record.until, until);
    }
}

void quarantine::expire(model::time_point now)
{
    for (auto place = m_records.begin(); place != m_records.end();) {
        bool const past = now - place->second.last > suspicion_time
                          && place->second.until <= now;
        place = past ? m_records.erase(place) : std::next(place);
    }
}

} // namespace caperjunction::decide
