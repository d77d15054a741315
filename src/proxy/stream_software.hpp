#ifndef CAPERJUNCTION_PROXY_STREAM_SOFTWARE_HPP
#define CAPERJUNCTION_PROXY_STREAM_SOFTWARE_HPP

#include "proxy/relay_context.hpp"

#include <functional>
#include <optional>

namespace caperjunction::proxy {

/// Returns the time for which a stream may be taken up: twice the longest
/// timeout of a route whose streams may be.
model::milliseconds takeover_window(relay_context const& context);

/// Returns whether this host has the changes that others have read: what its
/// list lacks, no other host can have used. Without other hosts, always.
bool has_recent_list(relay_context const& context);

/// Returns whether the software of an upstream is known from its entry: the
/// list is current, and if it was not confirmed a moment ago, no connection to
/// the upstream has broken since, as it does when one starts again under its
/// id.
bool is_software_certain(relay_context const& context,
                         routing::upstream_state const& state);

/// Returns whether none of the services of a route is known to have served
/// several versions lately. True if there is one service alone: it is asked
/// for.
bool serves_one_version_each(relay_context const& context,
                             routing::route const& route);

/// Records which software began a stream of this host, and tells others unless
/// they can know it without. `has_several_services`: the route's streams may
/// begin at several.
void record_begun(relay_context& context,
                  routing::stream_origin const& begun,
                  bool has_several_services);

/// Returns what this host knows of a stream.
routing::origin_claim own_claim(relay_context& context,
                                origin_question const& asked);

/// Calls `on_found` with the software that began a stream, or with nothing if
/// neither this host nor those that it can ask know it. May call it before it
/// returns.
void find_software(
    relay_context& context,
    origin_question const& asked,
    std::function<void(std::optional<routing::software>)> on_found);

/// Reads the directory into the history, tells other hosts of streams that
/// began before a second version served, and forgets old streams. Must be
/// called several times a second.
void sweep_stream_software(relay_context& context);

} // namespace caperjunction::proxy

#endif
