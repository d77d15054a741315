#include "program/hex_list.hpp"
#include "program/routed_host.hpp"
#include "runtime/log_line.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::program {
namespace {

/// Returns the name of a service; empty if no upstream is known that serves it.
std::string service_of(proxy::relay_context const& context, std::uint64_t key)
{
    std::string name;
    context.directory.each_service([&](std::string const& service) {
        if (routing::software_service_key(service) == key) {
            name = service;
        }
    });
    return name;
}

void log_broken_attempt(proxy::broken_attempt_report const& broken)
{
    runtime::log_line("attempt_broken")
        .field("id", broken.id)
        .field("route", broken.route)
        .field("service", broken.service)
        .field("upstream", broken.upstream)
        .field("started", broken.upstream_started)
        .field("through", broken.through)
        .field("requests", fmt::format("{:x}", broken.request))
        .field("crashes_known", broken.known_crashes.in_sequence)
        .field("crashes_in_all", broken.known_crashes.in_all)
        .field("crashes_without", broken.known_crashes.without)
        .field("answered_before", broken.known_crashes.is_trusted)
        .field("parts", ids_of(broken.prompt->parts))
        .field("events", broken.events)
        .field("since_head_ms", broken.since_head.count());
}

void log_crash(proxy::broken_upstream const& crashed)
{
    runtime::log_line("upstream_crashed")
        .field("upstream", crashed.id)
        .field("service", crashed.service)
        .field("crash", fmt::format("{:x}", crashed.crash.start))
        .field("candidates", crashed.crash.candidates.size())
        .field("requests",
               ids_of(crashed.crash.candidates, routing::part_kind::request))
        .field("parts",
               ids_of(crashed.crash.candidates, routing::part_kind::prompt));
}

void log_refutation(proxy::broken_upstream const& refuted)
{
    runtime::log_line("upstream_crash_refuted")
        .field("upstream", refuted.id)
        .field("service", refuted.service)
        .field("crash", fmt::format("{:x}", refuted.crash.start));
}

void add_verdict(runtime::log_line& to,
                 proxy::relay_context const& context,
                 routing::part_verdict const& verdict)
{
    auto const since_crash = std::chrono::duration_cast<model::milliseconds>(
        context.loop.now() - verdict.last_crash);
    to.field("service",
             verdict.parts.empty()
                 ? std::string()
                 : service_of(context, verdict.parts.front().service))
        .field("requests", ids_of(verdict.parts, routing::part_kind::request))
        .field("parts", ids_of(verdict.parts, routing::part_kind::prompt))
        .field("versions", verdict.versions.size())
        .field("heard", verdict.crashes.empty() ? "from_peers" : "here")
        .field("crashes", hex_list(verdict.crashes))
        .field("since_crash_ms", since_crash.count());
}

} // namespace

void routed_host::report_parts()
{
    m_context.on_attempt_broken =
        [](proxy::broken_attempt_report const& broken) {
            log_broken_attempt(broken);
        };
    m_context.on_crashed = [](proxy::broken_upstream const& crashed) {
        log_crash(crashed);
    };
    m_context.on_crash_refuted = [](proxy::broken_upstream const& refuted) {
        log_refutation(refuted);
    };
    m_context.on_trial = [](std::string_view id,
                            std::vector<routing::shared_part> const& parts) {
        runtime::log_line("part_trial")
            .field("id", id)
            .field("requests", ids_of(parts, routing::part_kind::request))
            .field("parts", ids_of(parts, routing::part_kind::prompt));
    };
    m_context.parts.on_kept_back = [this](routing::part_verdict const& begun) {
        runtime::log_line line("part_kept_back");
        add_verdict(line, m_context, begun);
    };
    m_context.parts.on_released = [this](routing::part_verdict const& ended) {
        runtime::log_line line("part_released");
        add_verdict(line, m_context, ended);
    };
}

} // namespace caperjunction::program
