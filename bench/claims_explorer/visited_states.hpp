#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_VISITED_STATES_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_VISITED_STATES_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_set>

namespace caperjunction::claims_explorer {

/// Hashes of the visited states of a search. With ten million states, the
/// probability of a 64-bit collision is about 3 in a million.
///
/// Thread safety: any thread.
class visited_states
{
public:
    /// Returns whether the state is new.
    bool insert(std::uint64_t hash)
    {
        auto& shard = m_shards[hash % shard_count];
        std::lock_guard<std::mutex> const lock(shard.mutex);
        bool const fresh = shard.hashes.insert(hash).second;
        m_size += fresh ? 1 : 0;
        return fresh;
    }

    std::size_t size() const
    {
        return m_size;
    }

private:
    static constexpr std::size_t shard_count = 251;

    struct shard
    {
        std::mutex mutex;
        std::unordered_set<std::uint64_t> hashes;
    };

    std::array<shard, shard_count> m_shards;
    std::atomic<std::size_t> m_size{0};
};

} // namespace caperjunction::claims_explorer

#endif
