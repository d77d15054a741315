#ifndef CAPERJUNCTION_PROXY_CRASH_CHECKS_HPP
#define CAPERJUNCTION_PROXY_CRASH_CHECKS_HPP

#include "proxy/relay_context.hpp"

#include <cstdint>
#include <functional>

namespace caperjunction::proxy {

/// Tries to connect directly to an upstream that another host has reported as
/// crashed, and calls `on_live` if it accepts the connection within 250 ms.
/// `start` is a key from `routing::start_key`. No effect if no known upstream
/// has this start.
///
/// Thread safety: the loop's task.
void check_for_other(relay_context& context,
                     std::uint64_t start,
                     std::function<void()> const& on_live);

/// Records that an upstream has accepted a connection of another host that was
/// asked to check it. If this is known within 250 ms of the break, only links
/// of this host were lost: the crash is refuted, and other hosts are told.
/// `start` as above.
///
/// Thread safety: the loop's task.
void record_live(relay_context& context, std::uint64_t start);

} // namespace caperjunction::proxy

#endif
