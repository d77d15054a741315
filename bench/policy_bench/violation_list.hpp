#ifndef CAPERJUNCTION_BENCH_VIOLATION_LIST_HPP
#define CAPERJUNCTION_BENCH_VIOLATION_LIST_HPP

#include "bench/policy_bench/violation.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// Violations by kind, in the order of their first occurrence.
///
/// Thread safety: none.
class violation_list
{
public:
    void record(std::string const& kind, std::string const& example)
    {
        auto const found = std::find_if(
            m_all.begin(), m_all.end(), [&kind](violation const& one) {
                return one.kind == kind;
            });
        if (found == m_all.end()) {
            m_all.push_back({kind, 1, example});
        } else {
            ++found->count;
        }
    }

    std::vector<violation> const& all() const
    {
        return m_all;
    }

private:
    std::vector<violation> m_all;
};

} // namespace caperjunction::bench

#endif
