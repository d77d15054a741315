#include "program/store_replica.hpp"

#include "program/replica_host.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

// A host reads the store in pages. A configuration is published after the first
// page, and then an engine writes its entry, which is on the second page. Until
// its next watch, the host has the entry but lacks the configuration. If it
// reports the entry's revision as its own, a peer that fetches at this time
// never gets the configuration: its callers get 404 for new routes, and removed
// keys stay valid there.
TEST_CASE("a change between two pages of a read reaches the peers")
{
    replica_host sender;
    sender.replica.apply(configuration_item(3, 10));
    sender.replica.apply(upstream_item("i-1", 12));
    sender.replica.commit(10);

    replica_host peer;
    peer.replica.apply(configuration_item(3, 10));
    peer.replica.commit(10);
    fetch_changes(peer, sender);
    CHECK(peer.context.known == routing::store_revisions{10, 3, 10, 10});

    sender.replica.apply(configuration_item(4, 11));
    sender.replica.commit(12);
    fetch_changes(peer, sender);
    CHECK(peer.context.known == routing::store_revisions{12, 4, 12, 11});
    CHECK(peer.replica.config_version() == 4);
    CHECK(peer.context.directory.find("i-1") != nullptr);
}

// The second page of a read contains an engine that has just started. A peer
// that lacks this engine then sends its complete list. If the merge removes the
// engine, it gets no requests until its entry changes.
TEST_CASE("a peer's complete list removes no newer entry")
{
    replica_host peer;
    peer.replica.apply(configuration_item(3, 10));
    peer.replica.apply(upstream_item("i-0", 11));
    peer.replica.commit(11);

    replica_host host;
    host.replica.apply(configuration_item(3, 10));
    host.replica.apply(upstream_item("i-1", 12));
    host.replica.apply(upstream_item("i-gone", 4));
    host.replica.commit(10);
    host.replica.merge(peer.replica.changes(0));
    CHECK(host.context.directory.find("i-1") != nullptr);
    CHECK(host.context.directory.find("i-0") != nullptr);
}

// The store discards its history while an engine leaves. A host reads the store
// completely and finds the engine missing, and a peer requests the changes. If
// the answer does not remove the engine, the peer sends requests to it until
// that host restarts.
TEST_CASE("a removal found by a complete read reaches the peers")
{
    replica_host host;
    host.replica.apply(configuration_item(3, 10));
    host.replica.apply(upstream_item("i-1", 11));
    host.replica.commit(11);
    replica_host peer;
    peer.replica.merge(host.replica.changes(0));
    REQUIRE(peer.context.directory.find("i-1") != nullptr);

    host.replica.apply(configuration_item(3, 10));
    host.replica.apply(upstream_item("i-2", 15));
    host.replica.retain_only({"op/config", "servers/i-2"}, 20);
    host.replica.commit(20);
    peer.replica.merge(host.replica.changes(11));
    CHECK(peer.context.known.upstreams == 20);
    CHECK(peer.context.directory.find("i-2") != nullptr);
    CHECK(peer.context.directory.find("i-1") == nullptr);

    // The peer's own answer contains the removal as well.
    replica_host third_host;
    third_host.replica.apply(configuration_item(3, 10));
    third_host.replica.apply(upstream_item("i-1", 11));
    third_host.replica.commit(11);
    third_host.replica.merge(peer.replica.changes(11));
    CHECK(third_host.context.directory.find("i-1") == nullptr);
}

// A configuration of 300 KB takes seconds on a congested link. A removal that
// is sent after it in the same list arrives so late that the upstream still
// gets requests.
TEST_CASE("a removal reaches a host that lacks a large configuration")
{
    replica_host sender;
    replica_host host;
    for (replica_host* const one : {&sender, &host}) {
        one->replica.apply(configuration_item(3, 10));
        one->replica.apply(upstream_item("i-1", 11));
        one->replica.commit(11);
    }
    proxy::store_item large = configuration_item(4, 12);
    large.value.insert(1, std::string(300'000, ' '));
    sender.replica.apply(large);
    sender.replica.apply({"servers/i-1", "", 13, true});
    sender.replica.commit(13);

    proxy::item_list const sent = sender.replica.changes(11);
    CHECK(proxy::encode_items(sent).size() < 1'000);
    host.replica.merge(sent);
    CHECK(host.context.directory.find("i-1") == nullptr);
    CHECK(host.replica.config_version() == 3);
    // Only the received list kind is confirmed.
    CHECK(host.context.known == routing::store_revisions{13, 3, 11, 10});
    CHECK(host.context.known.all() == 11);

    fetch_changes(host, sender);
    CHECK(host.replica.config_version() == 4);
    CHECK(host.context.known == sender.context.known);
}

// A host whose configuration lags behind polls the store from that revision. If
// an old entry is applied again, it restores an upstream that was removed.
TEST_CASE("an outdated store entry does not restore a removed upstream")
{
    replica_host host;
    host.replica.apply(configuration_item(3, 10));
    host.replica.commit(10);
    proxy::item_list list;
    list.since = 10;
    list.revision = 13;
    list.items.push_back({"servers/i-1", "", 13, true});
    host.replica.merge(list);

    host.replica.apply(upstream_item("i-1", 11));
    host.replica.apply(configuration_item(4, 12));
    CHECK(host.context.directory.find("i-1") == nullptr);
    CHECK(host.replica.config_version() == 4);
}

// A peer sends an entry that is newer than a page of a complete read in flight.
// If the read removed it, the upstream would get no requests until the watch
// delivers it again.
TEST_CASE("a late page removes no newer entry")
{
    replica_host peer;
    peer.replica.apply(upstream_item("i-1", 18));
    peer.replica.commit(20);
    replica_host host;
    host.replica.merge(peer.replica.changes(0));
    host.replica.retain_only({"op/config"}, 14);
    host.replica.commit(14);
    CHECK(host.uses("i-1"));
    host.replica.apply(upstream_item("i-1", 18));
    host.replica.commit(20);
    CHECK(host.uses("i-1"));
    CHECK(host.replica.changes(0).items.size() == 1);
}

// During a rolling upgrade, some hosts do not support separate list kinds.
TEST_CASE("a host of an earlier version gets both list kinds in one list")
{
    replica_host host;
    host.replica.apply(configuration_item(3, 10));
    host.replica.apply(upstream_item("i-1", 11));
    host.replica.commit(11);
    proxy::item_list const all = host.replica.all_changes(0);
    CHECK(all.items.size() == 2);
    CHECK(all.revision == 11);
    CHECK(host.replica.all_changes(10).items.size() == 1);

    replica_host other;
    other.replica.merge(all);
    CHECK(other.replica.config_version() == 3);
    CHECK(other.context.directory.find("i-1") != nullptr);
}

namespace {

proxy::store_item evacuation(std::string const& data_centre,
                             std::uint64_t revision,
                             bool is_removed = false)
{
    return {"op/evacuate/" + data_centre, "{}", revision, is_removed};
}

proxy::store_item cold_service(std::uint64_t revision)
{
    return {"op/config",
            R"({"version":3,"routes":[],"services":[{"name":"s",)"
            R"("cold_start_s":3.0,"cold_per_s":15.0}],"tenants":[]})",
            revision,
            false};
}

/// Gives `host` one upstream, in a data centre that is evacuated.
void evacuate(replica_host& host)
{
    host.replica.apply(cold_service(10));
    host.replica.apply(upstream_item("i-1", 11));
    host.replica.apply(evacuation("z", 12));
    host.replica.commit(12);
}

std::size_t usable(replica_host const& host)
{
    return host.context.directory.of_service("s").size();
}

} // namespace

// Guards against a host that hears of an evacuation from its peers alone and
// goes on sending there.
TEST_CASE("an evacuation reaches the peers and ends there too")
{
    replica_host host;
    evacuate(host);
    CHECK(usable(host) == 0);
    replica_host peer;
    fetch_changes(peer, host);
    CHECK(usable(peer) == 0);

    host.replica.apply(evacuation("z", 13, true));
    host.replica.commit(13);
    CHECK(usable(host) == 1);
    fetch_changes(peer, host);
    CHECK(usable(peer) == 1);
}

// Guards against a data centre that stays empty because the store has discarded
// the change that ended its evacuation.
TEST_CASE("a complete read ends an evacuation that it does not contain")
{
    replica_host host;
    evacuate(host);
    host.replica.retain_only({"op/config", "servers/i-1"}, 30);
    host.replica.commit(30);
    CHECK(usable(host) == 1);
}

// Guards against full load on engines that were restarted while their data
// centre was empty: they are cold, and their entries do not say so yet.
TEST_CASE("engines are cold after the evacuation of their data centre")
{
    replica_host host;
    evacuate(host);
    host.replica.apply(evacuation("z", 13, true));
    auto const state = host.context.directory.find("i-1");
    auto const now = host.loop.now();
    CHECK(state->cold.is_cold(now + model::milliseconds{2'900}));
    CHECK(!state->cold.is_cold(now + model::milliseconds{3'100}));
    CHECK(*state->cold.limit().notice().requests_per_second == 15.0);
}

// Guards against a host that reads the entries before the configuration and
// treats cold engines as warm.
TEST_CASE("a cold engine's limit applies as soon as its service is known")
{
    replica_host host;
    proxy::store_item cold = upstream_item("i-1", 11);
    cold.value.insert(cold.value.size() - 1, R"(,"cold_remaining_ms":2500)");
    host.replica.apply(cold);
    auto const state = host.context.directory.find("i-1");
    CHECK(!state->cold.limit().is_limited());
    host.replica.apply(cold_service(12));
    CHECK(state->cold.limit().is_limited());
}

// Guards against engines that get requests until they exit: their removal was
// before the start of the host that the others ask for changes.
TEST_CASE("a source that has just started hides no removal from its peers")
{
    replica_host peer;
    peer.replica.apply(configuration_item(3, 10));
    peer.replica.apply(upstream_item("i-1", 11));
    peer.replica.commit(125);

    replica_host started;
    started.replica.apply(configuration_item(3, 10));
    started.replica.retain_only({"op/config"}, 127);
    started.replica.commit(127);
    fetch_changes(peer, started);
    CHECK(!peer.uses("i-1"));
}

// The same where the started host has its list from another one.
TEST_CASE(
    "a source with a list of another host hides no removal from its peers")
{
    replica_host reader;
    reader.replica.apply(configuration_item(3, 10));
    reader.replica.apply(upstream_item("i-1", 11));
    reader.replica.commit(100);
    reader.replica.apply(removal_item("i-1", 126));
    reader.replica.commit(127);
    replica_host started;
    fetch_changes(started, reader);

    replica_host peer;
    peer.replica.apply(upstream_item("i-1", 11));
    peer.replica.commit(125);
    fetch_changes(peer, started);
    CHECK(!peer.uses("i-1"));
}

// Guards against engines that come and go while a host reads the store again:
// it has seen neither, and a peer has seen the first alone.
TEST_CASE("a complete read hides no removal that it skipped")
{
    replica_host host;
    host.replica.apply(upstream_item("i-1", 11));
    host.replica.commit(11);
    replica_host peer;
    fetch_changes(peer, host);
    peer.replica.apply(upstream_item("i-2", 15));
    peer.replica.commit(15);

    host.replica.apply(upstream_item("i-1", 11));
    host.replica.retain_only({"servers/i-1"}, 20);
    host.replica.commit(20);
    fetch_changes(peer, host);
    CHECK(!peer.uses("i-2"));
    CHECK(peer.uses("i-1"));
}
