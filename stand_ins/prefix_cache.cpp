#include "stand_ins/prefix_cache.hpp"

#include <xxhash.h>

#include <utility>

namespace caperjunction::stand_ins {
namespace {

constexpr std::size_t block_characters = 64;

} // namespace

prefix_cache::prefix_cache(std::size_t capacity, change_hook on_change)
    : m_capacity(capacity)
    , m_on_change(std::move(on_change))
{
}

std::vector<std::uint64_t> prefix_cache::block_hashes(std::string_view model,
                                                      std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain_hash = XXH3_64bits(model.data(), model.size());
    for (std::size_t begin = 0; begin + block_characters <= prompt.size();
         begin += block_characters) {
        chain_hash = XXH3_64bits_withSeed(
            prompt.data() + begin, block_characters, chain_hash);
        hashes.push_back(chain_hash);
    }
    return hashes;
}

double prefix_cache::use(std::string_view model, std::string_view prompt)
{
    auto const hashes = block_hashes(model, prompt);
    std::size_t found = 0;
    while (found < hashes.size() && m_positions.count(hashes[found]) != 0) {
        ++found;
    }
    for (std::uint64_t const block : hashes) {
        store(block);
    }
    return hashes.empty() ? 0.0
                          : static_cast<double>(found)
                                / static_cast<double>(hashes.size());
}

void prefix_cache::store(std::uint64_t block)
{
    auto const existing = m_positions.find(block);
    if (existing != m_positions.end()) {
        m_order.splice(m_order.begin(), m_order, existing->second);
        return;
    }
    if (m_capacity == 0) {
        return;
    }
    if (m_positions.size() >= m_capacity) {
        m_on_change(m_order.back(), false);
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(block);
    m_positions.emplace(block, m_order.begin());
    m_on_change(block, true);
}

void prefix_cache::clear()
{
    m_order.clear();
    m_positions.clear();
}

} // namespace caperjunction::stand_ins
