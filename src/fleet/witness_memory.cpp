#include "fleet/witness_memory.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <chrono>

namespace caperjunction::fleet {

witness_memory::claim const* witness_memory::find(claim_key key) const
{
    auto const found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void witness_memory::put(claim_key key, claim const& value)
{
    auto& stored = m_claims[key];
    m_deadlines.erase({stored.until, key});
    stored = value;
    m_deadlines.emplace(stored.until, key);
}

void witness_memory::finish(claim_key key, claim_attempt const& attempt)
{
    auto const found = m_claims.find(key);
    if (found != m_claims.end() && found->second.attempt == attempt) {
        found->second.state = claim_state::done;
    }
}

void witness_memory::erase(claim_key key, claim_attempt const& attempt)
{
    auto const found = m_claims.find(key);
    if (found == m_claims.end() || found->second.attempt != attempt
        || found->second.state == claim_state::done) {
        return;
    }
    m_deadlines.erase({found->second.until, key});
    m_claims.erase(found);
}

void witness_memory::expire(model::time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        m_claims.erase(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
}

std::map<std::size_t, std::vector<claim_record>>
witness_memory::collect(std::vector<bool> const& wanted,
                        model::time_point now) const
{
    using std::chrono::ceil;
    std::map<std::size_t, std::vector<claim_record>> result;
    for (auto const& [key, value] : m_claims) {
        std::size_t const bucket = claim_bucket(key, wanted.size());
        if (!wanted[bucket]) {
            continue;
        }
        // Rounded up: to forget a claim early is the one mistake that counts.
        auto const left = ceil<model::milliseconds>(value.until - now);
        result[bucket].push_back(
            {key, value.attempt, value.fingerprint, value.state, left});
    }
    return result;
}

void witness_memory::fingerprint(model::time_point now, std::string& out) const
{
    for (auto const& [key, value] : m_claims) {
        append(out, key.low);
        append(out, value.attempt);
        append(out, static_cast<std::uint64_t>(value.state));
        append_age(out, value.until, now);
    }
    append(out, m_claims.size());
}

} // namespace caperjunction::fleet
