#include "fleet/claim_answers.hpp"

namespace caperjunction::fleet {

namespace {

// Bytes of an entry besides its strings.
constexpr std::size_t entry_overhead = 256;

std::size_t size_of(claim_answer const& answer)
{
    return answer.body.size() + answer.content_type.size() + entry_overhead;
}

} // namespace

claim_answers::claim_answers(std::size_t max_bytes,
                             model::milliseconds retention)
    : m_max_bytes(max_bytes)
    , m_retention(retention)
{
}

void claim_answers::put(claim_key key,
                        claim_attempt const& attempt,
                        claim_answer answer,
                        model::time_point now)
{
    expire(now);
    std::size_t const size = size_of(answer);
    if (size > m_max_bytes || m_answers.count(key) > 0) {
        return;
    }
    while (m_bytes + size > m_max_bytes) {
        evict_oldest();
    }
    m_bytes += size;
    m_answers.emplace(key, stored{attempt, std::move(answer)});
    m_order.emplace_back(now, key);
}

claim_answer const* claim_answers::find(claim_key key,
                                        claim_attempt const& attempt) const
{
    auto const found = m_answers.find(key);
    bool const same =
        found != m_answers.end() && found->second.attempt == attempt;
    return same ? &found->second.answer : nullptr;
}

void claim_answers::expire(model::time_point now)
{
    while (!m_order.empty() && now - m_order.front().first >= m_retention) {
        evict_oldest();
    }
}

void claim_answers::evict_oldest()
{
    auto const found = m_answers.find(m_order.front().second);
    m_bytes -= size_of(found->second.answer);
    m_answers.erase(found);
    m_order.pop_front();
}

} // namespace caperjunction::fleet
