#include "bench/relay_bench/bench_site.hpp"

#include "net/upstream_client.hpp"
#include "stand_ins/site_lists.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace caperjunction::relay_bench {
namespace {

constexpr char const* loopback = "127.0.0.1";

bool is_ready(model::endpoint const& admin)
{
    runtime::event_loop loop;
    net::upstream_client client(loop, {});
    int status = 0;
    net::upstream_call call;
    call.to = admin;
    call.method = "GET";
    call.path = "/readyz";
    client.start(call,
                 {[&status](net::call_head const& head) {
                      status = head.status;
                  },
                  [](std::string_view /*bytes*/) {},
                  [&loop](net::call_end /*end*/) {
                      loop.stop();
                  }});
    loop.run();
    return status == 200;
}

void wait_until_ready(model::endpoint const& admin)
{
    constexpr int max_attempts = 500;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        if (is_ready(admin)) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    throw std::runtime_error("the router did not become ready");
}

} // namespace

bench_site::bench_site(std::string const& folder, engine_speed const& speed)
{
    std::string name = "/tmp/caperjunction-bench-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for the lists");
    }
    m_folder = name;
    std::vector<stand_ins::site_member> listed;
    for (std::size_t index = 0; index < speed.engines; ++index) {
        m_engines.push_back(std::make_unique<stand_ins::child_process>(
            folder + "/stand_in",
            std::vector<std::string>{
                "engine",
                fmt::format("--models={}", stand_ins::site_model),
                "--slots=4096",
                fmt::format("--tokens_per_second={}", speed.tokens_per_second),
                fmt::format("--first_token_ms={}", speed.first_token_ms),
                fmt::format("--burst_events={}", speed.burst_events)}));
        m_engine_addresses.push_back(
            {loopback, m_engines.back()->port("port")});
        listed.push_back(
            {fmt::format("engine-{}", index), m_engine_addresses.back(), {}});
    }
    m_platform = std::make_unique<stand_ins::child_process>(
        folder + "/stand_in",
        std::vector<std::string>{
            "platform",
            "--plans=" + write_file("plans", stand_ins::site_plans()),
            "--entitlements="
                + write_file("entitlements", stand_ins::site_entitlements()),
            "--hosts=" + write_file("hosts", stand_ins::site_hosts({})),
            "--upstreams="
                + write_file("upstreams",
                             stand_ins::site_upstreams(listed, {}))});
    m_router = std::make_unique<stand_ins::child_process>(
        folder + "/caperjunction",
        std::vector<std::string>{
            "serve",
            "--host_name=host-1",
            "--region=west",
            "--data_centre=west-a",
            "--listen=127.0.0.1:0",
            "--admin_listen=127.0.0.1:0",
            fmt::format("--platform=127.0.0.1:{}", m_platform->port("port"))});
    m_router_address = {loopback, m_router->port("callers_port")};
    wait_until_ready({loopback, m_router->port("admin_port")});
}

bench_site::~bench_site()
{
    for (std::string const& file : m_files) {
        std::remove(file.c_str());
    }
    std::remove(m_folder.c_str());
}

std::string bench_site::write_file(std::string const& name,
                                   std::string const& text)
{
    std::string file = m_folder + "/" + name + ".json";
    std::ofstream(file) << text;
    m_files.push_back(file);
    return file;
}

} // namespace caperjunction::relay_bench
