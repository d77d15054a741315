#include "decide/digest.hpp"

#include <xxhash.h>

#include <cmath>
#include <cstring>
#include <type_traits>

namespace caperjunction::decide {

namespace {

constexpr std::uint32_t version_mark = 0x32444a43;

class writer
{
public:
    template <typename Number>
    void put(Number value)
    {
        static_assert(std::is_arithmetic_v<Number>);
        std::size_t const end = m_bytes.size();
        m_bytes.resize(end + sizeof value);
        std::memcpy(m_bytes.data() + end, &value, sizeof value);
    }

    std::vector<std::uint8_t> finish()
    {
        put(XXH32(m_bytes.data(), m_bytes.size(), version_mark));
        return std::move(m_bytes);
    }

private:
    std::vector<std::uint8_t> m_bytes;
};

class reader
{
public:
    reader(std::uint8_t const* bytes, std::size_t size)
        : m_bytes(bytes)
        , m_left(size)
    {
    }

    template <typename Number>
    void take(Number& value)
    {
        if (m_left < sizeof value) {
            m_good = false;
            return;
        }
        std::memcpy(&value, m_bytes, sizeof value);
        m_bytes += sizeof value;
        m_left -= sizeof value;
    }

    /// A count of parts, at most `most`; 0 if it is not believable.
    std::size_t count(std::size_t most)
    {
        std::uint16_t found = 0;
        take(found);
        if (found > most) {
            m_good = false;
        }
        return m_good ? found : 0;
    }

    bool finished() const
    {
        return m_good && m_left == 0;
    }

private:
    std::uint8_t const* m_bytes;
    std::size_t m_left;
    bool m_good = true;
};

// A rate that is no number would spread into every sum it is added to.
bool believable(float rate)
{
    return std::isfinite(rate) && rate >= 0.0F && rate < 1e9F;
}

bool intact(std::vector<std::uint8_t> const& bytes)
{
    std::uint32_t found = 0;
    if (bytes.size() < sizeof found) {
        return false;
    }
    std::size_t const body = bytes.size() - sizeof found;
    std::memcpy(&found, bytes.data() + body, sizeof found);
    return found == XXH32(bytes.data(), body, version_mark);
}

void put_suspects(writer& out, std::vector<suspect_load> const& suspects)
{
    out.put(static_cast<std::uint16_t>(suspects.size()));
    for (suspect_load const& one : suspects) {
        out.put(one.fingerprint);
        out.put(one.evidence);
        out.put(one.engine_hash);
        out.put(one.seconds);
    }
}

void take_suspects(reader& in, std::vector<suspect_load>& suspects)
{
    suspects.resize(in.count(max_digest_suspects));
    for (suspect_load& one : suspects) {
        in.take(one.fingerprint);
        in.take(one.evidence);
        in.take(one.engine_hash);
        in.take(one.seconds);
    }
}

} // namespace

std::vector<std::uint8_t> encode(digest const& load)
{
    writer out;
    out.put(version_mark);
    out.put(load.region_hash);
    out.put(static_cast<std::uint16_t>(load.queues.size()));
    for (queue_load const& one : load.queues) {
        out.put(one.model_hash);
        out.put(one.tier);
        out.put(one.queued);
        out.put(one.refused);
    }
    out.put(static_cast<std::uint16_t>(load.engines.size()));
    for (engine_load const& one : load.engines) {
        out.put(one.engine_hash);
        out.put(one.in_flight);
        out.put(one.prefill);
    }
    out.put(static_cast<std::uint16_t>(load.teams.size()));
    for (team_load const& one : load.teams) {
        out.put(one.team_hash);
        out.put(one.tokens_per_second);
        out.put(one.requests_per_second);
        out.put(one.concurrent);
    }
    put_suspects(out, load.suspects);
    return out.finish();
}

bool decode(std::vector<std::uint8_t> const& bytes, digest& into)
{
    if (!intact(bytes)) {
        return false;
    }
    reader in(bytes.data(), bytes.size() - sizeof(std::uint32_t));
    std::uint32_t mark = 0;
    in.take(mark);
    if (mark != version_mark) {
        return false;
    }
    in.take(into.region_hash);
    into.queues.resize(in.count(max_digest_queues));
    for (queue_load& one : into.queues) {
        in.take(one.model_hash);
        in.take(one.tier);
        in.take(one.queued);
        in.take(one.refused);
    }
    into.engines.resize(in.count(max_digest_engines));
    for (engine_load& one : into.engines) {
        in.take(one.engine_hash);
        in.take(one.in_flight);
        in.take(one.prefill);
    }
    into.teams.resize(in.count(max_digest_teams));
    bool rates_good = true;
    for (team_load& one : into.teams) {
        in.take(one.team_hash);
        in.take(one.tokens_per_second);
        in.take(one.requests_per_second);
        in.take(one.concurrent);
        rates_good = rates_good && believable(one.tokens_per_second)
                     && believable(one.requests_per_second);
    }
    take_suspects(in, into.suspects);
    return rates_good && in.finished();
}

} // namespace caperjunction::decide
