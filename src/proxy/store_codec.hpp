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

/// A page of items, or the changes that a watch gave.
struct store_answer
{
    std::vector<store_item> items;
    bool has_more = false;
    /// The store's revision when it answered.
    std::uint64_t revision = 0;
};

/// What an item says.
struct unreadable_upstream
{
    std::string id;
};

struct removed_upstream
{
    std::string id;
};

using store_record = std::variant<std::monostate,
                                  routing::configuration,
                                  routing::upstream,
                                  unreadable_upstream,
                                  removed_upstream>;

/// The platform's calls and formats.
struct store_codec
{
    /// What is read; each item begins with one of these.
    std::vector<std::string> prefixes;
    /// Longest wait that a watch may ask for.
    model::milliseconds max_watch_wait{30'000};
    std::function<std::string(std::string const& prefix,
                              std::string const& after_key)>
        range_target;
    std::function<std::string(std::string const& prefix,
                              std::uint64_t after_revision,
                              model::milliseconds wait)>
        watch_target;
    /// \throws std::exception if the body can't be read.
    std::function<store_answer(std::string const& body)> read_range;
    std::function<store_answer(std::string const& body)> read_watch;
    /// \throws model::error (bad_list) for a configuration that can't be
    /// read; entries of upstreams that can't be are named as such.
    std::function<store_record(store_item const&)> decode;
    /// Whether the configuration stands under this key.
    std::function<bool(std::string const& key)> is_configuration;
    /// The upstream that a key names; empty if it names none.
    std::function<std::string(std::string const& key)> upstream_id;
};

} // namespace caperjunction::proxy

#endif
