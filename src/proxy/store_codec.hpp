#ifndef CAPERJUNCTION_PROXY_STORE_CODEC_HPP
#define CAPERJUNCTION_PROXY_STORE_CODEC_HPP

#include "model/time.hpp"
#include "proxy/store_item.hpp"
#include "routing/configuration.hpp"
#include "routing/upstream.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::proxy {

/// A page of items, or the changes returned by a watch.
struct store_answer
{
    std::vector<store_item> items;
    bool has_more = false;
    /// Revision of the store at the time of the answer.
    std::uint64_t revision = 0;
};

/// Decoded content of an item.
struct unreadable_upstream
{
    std::string id;
};

struct removed_upstream
{
    std::string id;
};

/// The operator wants no request to be sent to the upstreams of a data centre
/// while the item exists.
struct evacuation
{
    std::string data_centre;
    bool is_active = true;
};

using store_record = std::variant<std::monostate,
                                  routing::configuration,
                                  routing::upstream,
                                  unreadable_upstream,
                                  removed_upstream,
                                  evacuation>;

/// Request targets and formats of the platform's store.
struct store_codec
{
    /// Header of all answers with the era of the store; empty if it names none.
    std::string era_header;
    /// Key prefixes to read.
    std::vector<std::string> prefixes;
    /// Maximum wait that a watch may request.
    model::milliseconds max_watch_wait{30'000};
    std::function<std::string(std::string const& prefix,
                              std::string const& after_key)>
        range_target;
    std::function<std::string(std::string const& prefix,
                              std::uint64_t after_revision,
                              model::milliseconds wait)>
        watch_target;
    /// \throws std::exception if the body can't be parsed.
    std::function<store_answer(std::string const& body)> read_range;
    std::function<store_answer(std::string const& body)> read_watch;
    /// \throws model::error (bad_list) if a configuration can't be parsed. An
    /// invalid upstream entry is returned as `unreadable_upstream`.
    std::function<store_record(store_item const&)> decode;
    /// Whether `key` is the key of the configuration.
    std::function<bool(std::string const& key)> is_configuration;
    /// Returns the id of the upstream that `key` refers to; empty if it refers
    /// to none.
    std::function<std::string(std::string const& key)> upstream_id;
};

} // namespace caperjunction::proxy

#endif
