#include "decide/digest.hpp"

#include <xxhash.h>

#include <cmath>
#include <cstring>
#include <type_traits>

namespace caperjunction::decide {

namespace {

constexpr std::uint32_t format_magic = 0x32444a43;

class writer
{
public:
    template <typename Number>
    void write(Number value)
    {
        static_assert(std::is_arithmetic_v<Number>);
        std::size_t const end = m_bytes.size();
        m_bytes.resize(end + sizeof value);
        std::memcpy(m_bytes.data() + end, &value, sizeof value);
    }

    std::vector<std::uint8_t> finish()
    {
        write(XXH32(m_bytes.data(), m_bytes.size(), format_magic));
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
        , m_remaining(size)
    {
    }

    template <typename Number>
    void read(Number& value)
    {
        if (m_remaining < sizeof value) {
            m_valid = false;
            return;
        }
        std::memcpy(&value, m_bytes, sizeof value);
        m_bytes += sizeof value;
        m_remaining -= sizeof value;
    }

    /// Reads the number of entries in a part; 0 if it exceeds `max_count`.
    std::size_t read_count(std::size_t max_count)
    {
        std::uint16_t value = 0;
        read(value);
        if (value > max_count) {
            m_valid = false;
        }
        return m_valid ? value : 0;
    }

    bool finished() const
    {
        return m_valid && m_remaining == 0;
    }

private:
    std::uint8_t const* m_bytes;
    std::size_t m_remaining;
    bool m_valid = true;
};

// A rate that is not finite would corrupt every sum that includes it.
bool is_valid_rate(float rate)
{
    return std::isfinite(rate) && rate >= 0.0F && rate < 1e9F;
}

bool has_valid_checksum(std::vector<std::uint8_t> const& bytes)
{
    std::uint32_t value = 0;
    if (bytes.size() < sizeof value) {
        return false;
    }
    std::size_t const body = bytes.size() - sizeof value;
    std::memcpy(&value, bytes.data() + body, sizeof value);
    return value == XXH32(bytes.data(), body, format_magic);
}

void write_suspects(writer& output, std::vector<suspect_load> const& suspects)
{
    output.write(static_cast<std::uint16_t>(suspects.size()));
    for (suspect_load const& item : suspects) {
        output.write(item.fingerprint);
        output.write(item.evidence);
        output.write(item.engine_hash);
        output.write(item.seconds);
    }
}

void read_suspects(reader& input, std::vector<suspect_load>& suspects)
{
    suspects.resize(input.read_count(max_digest_suspects));
    for (suspect_load& item : suspects) {
        input.read(item.fingerprint);
        input.read(item.evidence);
        input.read(item.engine_hash);
        input.read(item.seconds);
    }
}

} // namespace

std::vector<std::uint8_t> encode(digest const& load)
{
    writer output;
    output.write(format_magic);
    output.write(load.region_hash);
    output.write(static_cast<std::uint16_t>(load.queues.size()));
    for (queue_load const& item : load.queues) {
        output.write(item.model_hash);
        output.write(item.tier);
        output.write(item.queued);
        output.write(item.refused);
    }
    output.write(static_cast<std::uint16_t>(load.engines.size()));
    for (engine_load const& item : load.engines) {
        output.write(item.engine_hash);
        output.write(item.in_flight);
        output.write(item.prefill);
    }
    output.write(static_cast<std::uint16_t>(load.teams.size()));
    for (team_load const& item : load.teams) {
        output.write(item.team_hash);
        output.write(item.tokens_per_second);
        output.write(item.requests_per_second);
        output.write(item.concurrent);
    }
    write_suspects(output, load.suspects);
    return output.finish();
}

bool decode(std::vector<std::uint8_t> const& bytes, digest& result)
{
    if (!has_valid_checksum(bytes)) {
        return false;
    }
    reader input(bytes.data(), bytes.size() - sizeof(std::uint32_t));
    std::uint32_t magic = 0;
    input.read(magic);
    if (magic != format_magic) {
        return false;
    }
    input.read(result.region_hash);
    result.queues.resize(input.read_count(max_digest_queues));
    for (queue_load& item : result.queues) {
        input.read(item.model_hash);
        input.read(item.tier);
        input.read(item.queued);
        input.read(item.refused);
    }
    result.engines.resize(input.read_count(max_digest_engines));
    for (engine_load& item : result.engines) {
        input.read(item.engine_hash);
        input.read(item.in_flight);
        input.read(item.prefill);
    }
    result.teams.resize(input.read_count(max_digest_teams));
    bool rates_valid = true;
    for (team_load& item : result.teams) {
        input.read(item.team_hash);
        input.read(item.tokens_per_second);
        input.read(item.requests_per_second);
        input.read(item.concurrent);
        rates_valid = rates_valid && is_valid_rate(item.tokens_per_second)
                      && is_valid_rate(item.requests_per_second);
    }
    read_suspects(input, result.suspects);
    return rates_valid && input.finished();
}

} // namespace caperjunction::decide
