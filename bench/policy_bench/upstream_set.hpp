#ifndef CAPERJUNCTION_BENCH_UPSTREAM_SET_HPP
#define CAPERJUNCTION_BENCH_UPSTREAM_SET_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/fake_engine.hpp"
#include "bench/policy_bench/fake_service.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::bench {

/// All fake upstreams of a deployment by index; engines come first.
///
/// Thread safety: none.
class upstream_set
{
public:
    /// Creates the hooks of the upstream with this index.
    using hook_maker = std::function<upstream_hooks(std::size_t upstream)>;

    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    upstream_set(deployment const& deployment,
                 event_queue& queue,
                 hook_maker const& make_hooks);

    /// Returns `none` if there is no upstream of that name.
    std::size_t find(std::string const& name) const;

    std::string const& name(std::size_t upstream) const;
    place const& place_of(std::size_t upstream) const;
    bool up(std::size_t upstream) const;

    std::size_t engine_count() const
    {
        return m_engines.size();
    }

    /// \pre `upstream` is below `engine_count()`.
    fake_engine& engine(std::size_t upstream);

    /// \pre `upstream` is a service.
    fake_service& service(std::size_t upstream);

private:
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::vector<std::unique_ptr<fake_service>> m_services;
    std::vector<std::string> m_names;
    std::vector<place> m_places;
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace caperjunction::bench

#endif
