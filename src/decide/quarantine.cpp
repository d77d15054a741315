#include "decide/quarantine.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// One crash may be chance; a second of the same fingerprint, kept apart from
// other suspects, is not.
constexpr std::uint32_t telling_evidence = 2;
constexpr std::uint32_t evidence_for_suspicion = 2;
constexpr std::uint32_t evidence_for_quarantine = 4;
// Long enough that its caller has given up; it ends by itself, since engines
// are mended by new versions that this host doesn't hear of.
constexpr model::milliseconds quarantine_time{600'000};
constexpr model::milliseconds suspicion_time{300'000};
// An engine that crashed can't be back and crash anew within this time.
constexpr model::milliseconds same_crash{3000};
// Records kept, however many engines crash.
constexpr std::size_t max_records = 4096;

} // namespace

bool quarantine::crashed(std::uint64_t fingerprint,
                         index engine,
                         bool telling,
                         model::time_point now)
{
    if (m_records.size() >= max_records
        && m_records.find(fingerprint) == m_records.end()) {
        return false;
    }
    suspect_record& record = m_records[fingerprint];
    if (record.last_engine == engine && now - record.last_crash < same_crash) {
        return false;
    }
    record.evidence += telling ? telling_evidence : 1;
    record.last = now;
    record.last_crash = now;
    record.last_engine = engine;
    record.running_on = 0;
    if (record.evidence < evidence_for_quarantine) {
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
    auto const found = m_records.find(fingerprint);
    return found != m_records.end()
           && found->second.evidence >= evidence_for_suspicion;
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
                       std::uint32_t evidence,
                       model::milliseconds remaining,
                       model::time_point now)
{
    bool const known = m_records.find(fingerprint) != m_records.end();
    if (!known && m_records.size() >= max_records) {
        return;
    }
    suspect_record& record = m_records[fingerprint];
    record.evidence = std::max(record.evidence, evidence);
    record.last = known ? record.last : now;
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
