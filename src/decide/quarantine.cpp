#include "decide/quarantine.hpp"

#include <algorithm>
#include <tuple>

namespace caperjunction::decide {

namespace {

// One crash may be a coincidence; a second one of the same fingerprint, run
// apart from other suspects, is not.
constexpr std::uint32_t strong_evidence_points = 2;
constexpr std::uint32_t suspect_threshold = 2;
constexpr std::uint32_t quarantine_threshold = 4;
// Long enough that the caller has given up. The quarantine ends by itself,
// because this host is not notified when a new engine version fixes the crash.
constexpr model::milliseconds quarantine_duration{600'000};
constexpr model::milliseconds suspect_duration{300'000};
// An engine cannot restart and crash again within this time.
constexpr model::milliseconds crash_window{3000};
// Maximum number of records, however many engines crash.
constexpr std::size_t max_records = 4096;

bool has_more_evidence(quarantine::item const& a, quarantine::item const& b)
{
    return std::tie(a.record.evidence, a.record.last_evidence)
           > std::tie(b.record.evidence, b.record.last_evidence);
}

} // namespace

// Each crash leaves a record of all that was in flight there. Those of chance
// get no second one.
void quarantine::forget_weakest()
{
    std::vector<item> all;
    for (auto const& [fingerprint, record] : m_records) {
        all.push_back({fingerprint, record});
    }
    auto const kept =
        all.begin() + static_cast<std::ptrdiff_t>(max_records / 4 * 3);
    std::nth_element(all.begin(), kept, all.end(), has_more_evidence);
    std::for_each(kept, all.end(), [this](item const& weak) {
        m_records.erase(weak.fingerprint);
    });
}

std::vector<quarantine::item> quarantine::seen_here(std::size_t max_count) const
{
    std::vector<item> list;
    for (auto const& [fingerprint, record] : m_records) {
        if (record.last_engine != no_index) {
            list.push_back({fingerprint, record});
        }
    }
    std::sort(list.begin(), list.end(), has_more_evidence);
    list.resize(std::min(list.size(), max_count));
    return list;
}

bool quarantine::record_crash(std::uint64_t fingerprint,
                              index engine,
                              bool is_strong,
                              model::time_point now)
{
    if (m_records.size() >= max_records
        && m_records.find(fingerprint) == m_records.end()) {
        forget_weakest();
    }
    suspect_record& record = m_records[fingerprint];
    if (record.last_engine == engine
        && now - record.last_crash < crash_window) {
        return false;
    }
    record.evidence += is_strong ? strong_evidence_points : 1;
    record.last_evidence = now;
    record.last_crash = now;
    record.last_engine = engine;
    record.running_on = 0;
    if (record.evidence < quarantine_threshold) {
        return false;
    }
    record.until = now + quarantine_duration;
    return true;
}

void quarantine::clear(std::uint64_t fingerprint)
{
    m_records.erase(fingerprint);
}

void quarantine::set_running_engine(std::uint64_t fingerprint,
                                    std::uint32_t engine_hash)
{
    auto const found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.running_on = engine_hash;
    }
}

bool quarantine::is_suspect(std::uint64_t fingerprint) const
{
    auto const found = m_records.find(fingerprint);
    return found != m_records.end()
           && found->second.evidence >= suspect_threshold;
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

void quarantine::merge(std::uint64_t fingerprint,
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
    record.last_evidence = known ? record.last_evidence : now;
    // A peer's bytes may be wrong: limits the quarantine to the maximum.
    auto const until = now + std::min(remaining, quarantine_duration);
    if (remaining.count() > 0) {
        record.until = std::max(record.until, until);
    }
}

void quarantine::expire(model::time_point now)
{
    for (auto record = m_records.begin(); record != m_records.end();) {
        bool const expired =
            now - record->second.last_evidence > suspect_duration
            && record->second.until <= now;
        record = expired ? m_records.erase(record) : std::next(record);
    }
}

} // namespace caperjunction::decide
