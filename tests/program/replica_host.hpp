#ifndef CAPERJUNCTION_TESTS_PROGRAM_REPLICA_HOST_HPP
#define CAPERJUNCTION_TESTS_PROGRAM_REPLICA_HOST_HPP

#include "platform/platform.hpp"
#include "program/store_replica.hpp"
#include "proxy/relay_context.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace caperjunction::test {

inline proxy::store_item configuration_item(std::uint64_t version,
                                            std::uint64_t revision)
{
    return {"op/config",
            fmt::format(R"({{"version":{},"routes":[],"services":[],)"
                        R"("limits":{{}},"tenants":[]}})",
                        version),
            revision,
            false};
}

inline proxy::store_item upstream_item(std::string const& id,
                                       std::uint64_t revision,
                                       std::string const& state = "ready")
{
    return {
        "servers/" + id,
        fmt::format(R"({{"service":"s","address":"10.0.0.9:8080","zone":"z",)"
                    R"("slots":4,"version":"v1","state":"{}",)"
                    R"("born":1700000000000}})",
                    state),
        revision,
        false};
}

inline proxy::store_item removal_item(std::string const& id,
                                      std::uint64_t revision)
{
    return {"servers/" + id, "", revision, true};
}

/// A host's replica of the store, without sockets.
struct replica_host
{
    /// With a loop of its own.
    replica_host()
        : replica_host(std::make_unique<runtime::event_loop>())
    {
    }

    explicit replica_host(runtime::event_loop& on,
                          proxy::relay_settings const& settings = {})
        : loop(on)
        , context(
              on,
              names,
              settings,
              [&on] {
                  return on.now();
              },
              [](std::string const&) {
                  return routing::location{};
              })
    {
    }

    std::unique_ptr<runtime::event_loop> own_loop;
    runtime::event_loop& loop;
    proxy::wire_names names = platform::wire_names();
    proxy::store_codec codec = platform::store_codec();
    proxy::relay_context context;
    program::store_replica replica{context, codec};

    /// Whether requests may be sent to the upstream.
    bool uses(std::string const& id) const
    {
        auto const state = context.directory.find(id);
        return state != nullptr && !state->is_retired;
    }

private:
    explicit replica_host(std::unique_ptr<runtime::event_loop> made)
        : replica_host(*made)
    {
        own_loop = std::move(made);
    }
};

/// Fetches both list kinds from `other`, encoded as on the wire.
inline void fetch_changes(replica_host& host, replica_host& other)
{
    host.replica.merge(*proxy::decode_items(proxy::encode_items(
        other.replica.changes(host.context.known.upstreams))));
    host.replica.merge(*proxy::decode_configuration(proxy::encode_configuration(
        other.replica.configuration(host.context.known.configuration))));
}

} // namespace caperjunction::test

#endif
