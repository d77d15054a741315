#include "fleet/claim_table.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <chrono>

namespace caperjunction::fleet {

claim_table::claim const* claim_table::find(claim_key key) const
{
    auto const found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void claim_table::put(claim_key key, claim const& value)
{
    auto& stored = m_claims[key];
    m_deadlines.erase({stored.until, key});
    stored = value;
    m_deadlines.emplace(stored.until, key);
}

void claim_table::finish(claim_key key, claim_attempt const& attempt)
{
    auto const found = m_claims.find(key);
    if (found != m_claims.end() && found->second.attempt == attempt) {
        found->second.state = claim_state::done;
    }
}

void claim_table::erase(claim_key key, claim_attempt const& attempt)
{
    auto const found = m_claims.find(key);
    if (found == m_claims.end() || found->second.attempt != attempt
        || found->second.state == claim_state::done) {
        return;
    }
    m_deadlines.erase({found->second.until, key});
    m_claims.erase(found);
}

void claim_table::expire(model::time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        m_claims.erase(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
}

std::map<std::size_t, std::vector<claim_record>>
claim_table::collect(std::vector<bool> const& wanted,
                     model::time_point now) const
{
    using std::chrono::ceil;
    std::map<std::size_t, std::vector<claim_record>> result;
    for (auto const& [key, value] : m_claims) {
        std::size_t const bucket = claim_bucket(key, wanted.size());
        if (!wanted[bucket]) {
            continue;
        }
        // Rounded up: a claim that expires early allows a second run.
        auto const left = ceil<model::milliseconds>(value.until - now);
        result[bucket].push_back(
            {key, value.attempt, value.fingerprint, value.state, left});
    }
    return result;
}

void claim_table::fingerprint(model::time_point now, std::string& out) const
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
