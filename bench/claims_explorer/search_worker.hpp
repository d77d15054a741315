#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SEARCH_WORKER_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SEARCH_WORKER_HPP

#include "bench/claims_explorer/search.hpp"
#include "bench/claims_explorer/step.hpp"
#include "bench/claims_explorer/visited_states.hpp"

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

namespace caperjunction::claims_explorer {

/// Path to a state: the last step and the path before it.
struct path_node
{
    step last;
    std::shared_ptr<path_node const> parent;
};

/// A state whose successors are not explored yet.
template <typename State>
struct branch
{
    State state;
    std::size_t depth = 0;
    std::shared_ptr<path_node const> path;
};

template <typename State>
std::vector<step> history_of(branch<State> const& end)
{
    std::vector<step> steps;
    for (auto const* at = end.path.get(); at != nullptr;
         at = at->parent.get()) {
        steps.push_back(at->last);
    }
    std::reverse(steps.begin(), steps.end());
    return steps;
}

/// Branches that no thread is working on. Detects the end of the search.
///
/// Thread safety: any thread.
template <typename State>
class branch_pool
{
public:
    explicit branch_pool(std::size_t workers)
        : m_workers(workers)
    {
    }

    void push(std::vector<branch<State>>&& branches)
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        for (auto& one : branches) {
            m_branches.push_back(std::move(one));
        }
        m_changed.notify_all();
    }

    /// Waits for a branch. Returns false once all branches are explored or the
    /// search is stopped.
    bool pop(std::vector<branch<State>>& out)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        ++m_idle;
        m_changed.notify_all();
        m_changed.wait(lock, [&] {
            return m_stopped || !m_branches.empty() || m_idle == m_workers;
        });
        if (m_stopped || m_branches.empty()) {
            m_changed.notify_all();
            return false;
        }
        --m_idle;
        out.push_back(std::move(m_branches.back()));
        m_branches.pop_back();
        return true;
    }

    bool needs_work()
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        return m_idle > 0 && m_branches.size() < m_workers;
    }

    void stop()
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        m_stopped = true;
        m_changed.notify_all();
    }

    bool stopped()
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        return m_stopped;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<branch<State>> m_branches;
    std::size_t m_workers;
    std::size_t m_idle = 0;
    bool m_stopped = false;
};

/// One thread's depth-first share of a search.
///
/// Thread safety: none; each thread has its own.
template <typename State>
class search_worker
{
public:
    search_worker(branch_pool<State>& pool,
                  visited_states& visited,
                  search_limits const& limits,
                  std::uint64_t seed)
        : m_pool(pool)
        , m_visited(visited)
        , m_limits(limits)
        , m_random(seed)
    {
    }

    void run()
    {
        constexpr std::size_t s_share_every = 64;
        std::size_t count = 0;
        std::vector<branch<State>> stack;
        while (m_pool.pop(stack)) {
            while (!stack.empty()) {
                branch<State> const at = std::move(stack.back());
                stack.pop_back();
                expand(at, stack);
                if (++count % s_share_every == 0) {
                    share_branches(stack);
                }
            }
        }
    }

    search_result const& result() const
    {
        return m_result;
    }

private:
    void expand(branch<State> const& at, std::vector<branch<State>>& stack)
    {
        auto steps = at.state.steps();
        if (at.depth >= m_limits.depth) {
            m_result.exhaustive = m_result.exhaustive && steps.empty();
            return;
        }
        std::shuffle(steps.begin(), steps.end(), m_random);
        for (auto const& what : steps) {
            if (m_visited.size() >= m_limits.max_states) {
                m_result.exhaustive = false;
                stack.clear();
                return;
            }
            branch<State> next{at.state, at.depth + 1, nullptr};
            next.state.apply(what);
            if (!m_visited.insert(next.state.hash())) {
                continue;
            }
            next.path =
                std::make_shared<path_node const>(path_node{what, at.path});
            if (record(next)) {
                stack.push_back(std::move(next));
            }
        }
    }

    // Adds the violations of a state to the result. Returns false if its
    // history ends here.
    bool record(branch<State> const& at)
    {
        auto const& found = at.state.found_violations();
        m_result.runs_twice += found.runs_twice;
        m_result.false_not_run += found.false_not_run;
        m_result.stale_orders += found.stale_orders;
        bool is_stuck = false;
        if (!found.any() && at.state.is_quiescent()) {
            ++m_result.settled;
            is_stuck = at.state.is_stuck();
            m_result.stuck += is_stuck ? 1 : 0;
        }
        bool const bad = found.any() || is_stuck;
        if (bad && m_result.history.empty()) {
            m_result.history = history_of(at);
        }
        if (bad && m_limits.stop_at_first) {
            m_result.exhaustive = false;
            m_pool.stop();
        }
        return !bad;
    }

    void share_branches(std::vector<branch<State>>& stack)
    {
        if (m_pool.stopped()) {
            stack.clear();
        }
        if (stack.size() < 2 || !m_pool.needs_work()) {
            return;
        }
        // The oldest branches have the largest subtrees.
        auto const half =
            stack.begin() + static_cast<std::ptrdiff_t>(stack.size() / 2);
        m_pool.push({std::make_move_iterator(stack.begin()),
                     std::make_move_iterator(half)});
        stack.erase(stack.begin(), half);
    }

    branch_pool<State>& m_pool;
    visited_states& m_visited;
    search_limits m_limits;
    std::mt19937_64 m_random;
    search_result m_result;
};

} // namespace caperjunction::claims_explorer

#endif
