#ifndef CAPERJUNCTION_BENCH_RELAY_BENCH_BENCH_SITE_HPP
#define CAPERJUNCTION_BENCH_RELAY_BENCH_BENCH_SITE_HPP

#include "model/endpoint.hpp"
#include "stand_ins/child_process.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::relay_bench {

/// Behaviour and number of the engine stand-ins behind the router.
struct engine_speed
{
    double tokens_per_second = 0.0;
    std::uint32_t first_token_ms = 10;
    std::uint32_t burst_events = 1;
    std::size_t engines = 1;
};

/// Runs engine and platform stand-ins and one router as separate processes, so
/// that the processor time and memory of each can be measured separately.
///
/// Thread safety: none.
class bench_site
{
public:
    bench_site(std::string const& folder, engine_speed const& speed);
    ~bench_site();

    model::endpoint router() const
    {
        return m_router_address;
    }

    model::endpoint engine() const
    {
        return m_engine_addresses.front();
    }

    stand_ins::child_process const& router_process() const
    {
        return *m_router;
    }

private:
    std::string write_file(std::string const& name, std::string const& text);

    std::string m_folder;
    std::vector<std::string> m_files;
    std::vector<std::unique_ptr<stand_ins::child_process>> m_engines;
    std::unique_ptr<stand_ins::child_process> m_platform;
    std::unique_ptr<stand_ins::child_process> m_router;
    std::vector<model::endpoint> m_engine_addresses;
    model::endpoint m_router_address;
};

} // namespace caperjunction::relay_bench

#endif
