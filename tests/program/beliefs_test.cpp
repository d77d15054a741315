#include "program/beliefs.hpp"

#include "platform/platform.hpp"
#include "proxy/relay_context.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace caperjunction;

namespace {

proxy::store_item configuration(std::uint64_t version, std::uint64_t revision)
{
    return {"op/config",
            fmt::format(R"({{"version":{},"routes":[],"services":[],)"
                        R"("limits":{{}},"tenants":[]}})",
                        version),
            revision,
            false};
}

proxy::store_item upstream(std::string const& id, std::uint64_t revision)
{
    return {"servers/" + id,
            R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":4,)"
            R"("state":"ready","born":1700000000000})",
            revision,
            false};
}

/// A host's beliefs, without its sockets.
struct believer
{
    runtime::event_loop loop;
    proxy::wire_names names = platform::wire_names();
    proxy::store_codec codec = platform::store_codec();
    proxy::relay_context context{loop,
                                 names,
                                 {},
                                 [] {
                                     return model::time_point{};
                                 },
                                 [](std::string const&) {
                                     return routing::distance::same_data_centre;
                                 }};
    program::beliefs beliefs{context, codec};
};

/// `host` asks `other` for both lanes, as over their links.
void ask(believer& host, believer& other)
{
    host.beliefs.merge(*proxy::decode_items(proxy::encode_items(
        other.beliefs.changes(host.context.known.upstreams))));
    host.beliefs.merge(*proxy::decode_configuration(proxy::encode_configuration(
        other.beliefs.configuration(host.context.known.configuration))));
}

} // namespace

// A host reads the store in pages. After the first page a configuration is
// published, and after that an engine writes its entry, which stands on the
// second page. Until its next watch the host holds the entry and lacks the
// configuration. If it gave itself the entry's revision, a peer that asks
// then would never hear of the configuration: its callers would get 404 for
// new routes, and removed keys would go on working there.
TEST_CASE("a change between two pages of a read reaches the peers")
{
    believer reader;
    reader.beliefs.apply(configuration(3, 10));
    reader.beliefs.apply(upstream("i-1", 12));
    reader.beliefs.commit(10);

    believer peer;
    peer.beliefs.apply(configuration(3, 10));
    peer.beliefs.commit(10);
    ask(peer, reader);
    CHECK(peer.context.known == routing::store_revisions{10, 10, 10});

    reader.beliefs.apply(configuration(4, 11));
    reader.beliefs.commit(12);
    ask(peer, reader);
    CHECK(peer.context.known == routing::store_revisions{12, 11, 12});
    CHECK(peer.beliefs.config_version() == 4);
    CHECK(peer.context.directory.find("i-1") != nullptr);
}

// A host's second page brings an engine that started a moment ago, and a peer
// that has not heard of that engine gives all that it has. The engine would
// stand idle until its entry changes.
TEST_CASE("a peer's whole list drops nothing that is newer than it")
{
    believer peer;
    peer.beliefs.apply(configuration(3, 10));
    peer.beliefs.apply(upstream("i-0", 11));
    peer.beliefs.commit(11);

    believer host;
    host.beliefs.apply(configuration(3, 10));
    host.beliefs.apply(upstream("i-1", 12));
    host.beliefs.apply(upstream("i-gone", 4));
    host.beliefs.commit(10);
    host.beliefs.merge(peer.beliefs.changes(0));
    CHECK(host.context.directory.find("i-1") != nullptr);
    CHECK(host.context.directory.find("i-0") != nullptr);
}

// The store drops its history while an engine leaves. A host reads it whole
// and finds the engine missing, and a peer asks it for what has changed. If
// the answer left the engine out, the peer would go on sending requests to it
// until that host starts anew.
TEST_CASE("what a whole read finds missing is missing at the peers too")
{
    believer host;
    host.beliefs.apply(configuration(3, 10));
    host.beliefs.apply(upstream("i-1", 11));
    host.beliefs.commit(11);
    believer peer;
    peer.beliefs.merge(host.beliefs.changes(0));
    REQUIRE(peer.context.directory.find("i-1") != nullptr);

    host.beliefs.apply(configuration(3, 10));
    host.beliefs.apply(upstream("i-2", 15));
    host.beliefs.keep_only({"op/config", "servers/i-2"});
    host.beliefs.commit(20);
    peer.beliefs.merge(host.beliefs.changes(11));
    CHECK(peer.context.known.upstreams == 20);
    CHECK(peer.context.directory.find("i-2") != nullptr);
    CHECK(peer.context.directory.find("i-1") == nullptr);

    // And what it told in turn is whole too.
    believer third;
    third.beliefs.apply(configuration(3, 10));
    third.beliefs.apply(upstream("i-1", 11));
    third.beliefs.commit(11);
    third.beliefs.merge(peer.beliefs.changes(11));
    CHECK(third.context.directory.find("i-1") == nullptr);
}

// Over a full link a configuration of 300 KB takes seconds. Behind it in one
// list, a leave came so late that the upstream still got requests.
TEST_CASE("a leave reaches a host that lacks a large configuration")
{
    believer reader;
    believer host;
    for (believer* const one : {&reader, &host}) {
        one->beliefs.apply(configuration(3, 10));
        one->beliefs.apply(upstream("i-1", 11));
        one->beliefs.commit(11);
    }
    proxy::store_item large = configuration(4, 12);
    large.value.insert(1, std::string(300'000, ' '));
    reader.beliefs.apply(large);
    reader.beliefs.apply({"servers/i-1", "", 13, true});
    reader.beliefs.commit(13);

    proxy::item_list const told = reader.beliefs.changes(11);
    CHECK(proxy::encode_items(told).size() < 1'000);
    host.beliefs.merge(told);
    CHECK(host.context.directory.find("i-1") == nullptr);
    CHECK(host.beliefs.config_version() == 3);
    // And nothing is confirmed that was not told.
    CHECK(host.context.known == routing::store_revisions{13, 10, 11});
    CHECK(host.context.known.all() == 11);

    ask(host, reader);
    CHECK(host.beliefs.config_version() == 4);
    CHECK(host.context.known == reader.context.known);
}

// A host whose configuration lags asks the store from there. Applied again, an
// old entry would bring back an upstream that is gone.
TEST_CASE("what the store tells late brings back no upstream")
{
    believer host;
    host.beliefs.apply(configuration(3, 10));
    host.beliefs.commit(10);
    proxy::item_list list;
    list.since = 10;
    list.revision = 13;
    list.items.push_back({"servers/i-1", "", 13, true});
    host.beliefs.merge(list);

    host.beliefs.apply(upstream("i-1", 11));
    host.beliefs.apply(configuration(4, 12));
    CHECK(host.context.directory.find("i-1") == nullptr);
    CHECK(host.beliefs.config_version() == 4);
}

// A page of a whole read was on its way when a peer told of an entry that came
// after it: the read drops the entry, and the watch that follows brings it
// back. Left out for its age, the upstream would get no request.
TEST_CASE("an entry that a late page dropped comes back with the watch")
{
    believer peer;
    peer.beliefs.apply(upstream("i-1", 18));
    peer.beliefs.commit(20);
    believer host;
    host.beliefs.merge(peer.beliefs.changes(0));
    host.beliefs.keep_only({"op/config"});
    host.beliefs.commit(14);
    host.beliefs.apply(upstream("i-1", 18));
    host.beliefs.commit(20);
    CHECK(host.beliefs.changes(0).items.size() == 1);
}

// While hosts are replaced one by one, some know no lanes.
TEST_CASE("a host of an earlier version gets both lanes in one list")
{
    believer host;
    host.beliefs.apply(configuration(3, 10));
    host.beliefs.apply(upstream("i-1", 11));
    host.beliefs.commit(11);
    proxy::item_list const all = host.beliefs.all_changes(0);
    CHECK(all.items.size() == 2);
    CHECK(all.revision == 11);
    CHECK(host.beliefs.all_changes(10).items.size() == 1);

    believer other;
    other.beliefs.merge(all);
    CHECK(other.beliefs.config_version() == 3);
    CHECK(other.context.directory.find("i-1") != nullptr);
}
