#include "program/replica_host.hpp"
#include "proxy/leaving_notices.hpp"
#include "routing/peer_digest.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;
using namespace std::chrono_literals;

namespace {

proxy::store_item in_era(std::uint64_t era, proxy::store_item item)
{
    item.era = era;
    return item;
}

/// Hosts on one test clock.
struct clocked_hosts
{
    model::time_point now{std::chrono::hours(1)};
    runtime::event_loop loop{runtime::clock{[this] {
        return now;
    }}};

    void advance(replica_host& host, model::milliseconds time)
    {
        now += time;
        host.context.directory.drop_missing(now);
        host.replica.settle();
    }
};

/// A host that has seen two upstreams, and configuration 20, in era 1.
void read_first_era(replica_host& host)
{
    host.replica.enter_era(1);
    host.replica.apply(in_era(1, configuration_item(20, 110)));
    host.replica.apply(in_era(1, upstream_item("i-1", 120)));
    host.replica.apply(in_era(1, upstream_item("i-2", 126)));
    host.replica.commit({126, 1});
}

/// Reads a copy that ends at revision 122: i-1 is ready, i-2 is missing.
void read_copy(replica_host& host)
{
    host.replica.enter_era(2);
    host.replica.apply(in_era(2, configuration_item(20, 110)));
    host.replica.apply(in_era(2, upstream_item("i-1", 120)));
    host.replica.retain_only({"op/config", "servers/i-1"}, {122, 2});
    host.replica.commit({122, 2});
}

} // namespace

// Guards against requests to an upstream whose leave the store has forgotten.
TEST_CASE("a leave that the copy lacks stays known and is told")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, upstream_item("i-1", 127, "draining")));
    host.replica.commit({127, 1});
    read_copy(host);
    CHECK(!host.uses("i-1"));
    auto const key =
        routing::start_key(host.context.directory.find("i-1")->description);
    CHECK(proxy::leaving_to_advertise(host.context)
          == std::vector<std::uint64_t>{key});

    // It is written again, and the entry goes at its exit.
    host.replica.apply(in_era(2, upstream_item("i-1", 124, "draining")));
    host.replica.apply(in_era(2, removal_item("i-1", 125)));
    fleet.advance(host, 2s);
    CHECK(host.context.directory.find("i-1") == nullptr);
}

// The same where it had exited already.
TEST_CASE("an upstream that has left is not used when the copy has its entry")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, upstream_item("i-1", 127, "draining")));
    host.replica.apply(in_era(1, removal_item("i-1", 128)));
    host.replica.commit({128, 1});
    read_copy(host);
    CHECK(!host.uses("i-1"));
    CHECK(proxy::leaving_to_advertise(host.context).size() == 1);
    fleet.advance(host, 20s);
    CHECK(!host.uses("i-1"));
}

// Guards against requests to an upstream that left without a word: its removal
// is all that hosts knew of it. One that lives is not lost by that.
TEST_CASE("an entry whose removal the copy lacks is withheld until it changes")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, removal_item("i-1", 127)));
    host.replica.commit({127, 1});
    read_copy(host);
    CHECK(!host.uses("i-1"));
    fleet.advance(host, 9s);
    CHECK(!host.uses("i-1"));

    SUBCASE("it changes")
    {
        host.replica.apply(in_era(2, upstream_item("i-1", 123)));
        CHECK(host.uses("i-1"));
    }
    SUBCASE("the store keeps it")
    {
        fleet.advance(host, 2s);
        CHECK(host.uses("i-1"));
    }
    SUBCASE("the store removes it")
    {
        host.replica.apply(in_era(2, removal_item("i-1", 123)));
        fleet.advance(host, 2s);
        CHECK(!host.uses("i-1"));
    }
}

// Guards against revoked keys that are accepted again, and routes that go back.
TEST_CASE("a configuration that the copy lacks stays in force and is told")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, configuration_item(21, 127)));
    host.replica.commit({127, 1});
    read_copy(host);
    CHECK(host.replica.config_version() == 21);

    replica_host started(fleet.loop);
    read_copy(started);
    CHECK(started.replica.config_version() == 20);
    CHECK(host.context.known.has_newer(routing::list_kind::configuration,
                                       started.context.known));
    fetch_changes(started, host);
    CHECK(started.replica.config_version() == 21);
    CHECK(!started.context.known.has_newer(routing::list_kind::configuration,
                                           host.context.known));

    // The operator goes on, at revisions that were given out before.
    host.replica.apply(in_era(2, configuration_item(24, 123)));
    host.replica.commit({123, 2});
    fetch_changes(started, host);
    CHECK(started.replica.config_version() == 24);
}

// Guards against refusals for want of engines: those that started in the lost
// seconds run on and write their entries again.
TEST_CASE("an entry that the copy lacks stays for the settle time")
{
    clocked_hosts fleet;
    replica_host reader(fleet.loop);
    replica_host peer(fleet.loop);
    read_first_era(reader);
    read_first_era(peer);
    read_copy(reader);
    fetch_changes(peer, reader);
    CHECK(peer.context.known.upstreams == routing::store_position{122, 2});
    for (replica_host* const host : {&reader, &peer}) {
        CHECK(host->uses("i-2"));
    }
    reader.replica.apply(in_era(2, upstream_item("i-2", 123)));
    reader.replica.commit({123, 2});
    fleet.advance(reader, 2s);
    CHECK(reader.uses("i-2"));
    peer.context.directory.drop_missing(fleet.now);
    CHECK(!peer.uses("i-2"));
    fetch_changes(peer, reader);
    CHECK(peer.uses("i-2"));
}

// Guards against requests to a data centre whose evacuation is written again.
TEST_CASE("an evacuation that the copy lacks stays for the settle time")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, {"op/evacuate/z", "{}", 127, false}));
    host.replica.commit({127, 1});
    read_copy(host);
    CHECK(host.context.directory.of_service("s").empty());
    SUBCASE("it is written again")
    {
        host.replica.apply(in_era(2, {"op/evacuate/z", "{}", 123, false}));
        fleet.advance(host, 2s);
        CHECK(host.context.directory.of_service("s").empty());
    }
    SUBCASE("it is not")
    {
        fleet.advance(host, 2s);
        CHECK(!host.context.directory.of_service("s").empty());
    }
}

// Half of the hosts are in the new era: neither takes the old state for newer.
TEST_CASE("a list of an earlier era changes nothing")
{
    clocked_hosts fleet;
    replica_host early(fleet.loop);
    replica_host late(fleet.loop);
    read_first_era(early);
    read_first_era(late);
    late.replica.apply(in_era(1, upstream_item("i-3", 140)));
    late.replica.commit({140, 1});
    read_copy(early);
    CHECK(early.context.known.has_newer(routing::list_kind::upstreams,
                                        late.context.known));
    CHECK(!late.context.known.has_newer(routing::list_kind::upstreams,
                                        early.context.known));
    early.replica.merge(late.replica.changes({}));
    CHECK(early.context.directory.find("i-3") == nullptr);
    // It knows more of the lost seconds than its source: it needs all items.
    CHECK(!early.replica.changes(late.context.known.upstreams).since.is_set());
    fetch_changes(late, early);
    CHECK(late.context.known.upstreams == early.context.known.upstreams);
    fleet.advance(late, 2s);
    CHECK(late.context.directory.find("i-3") == nullptr);
}

// Guards against a host that is cut off, comes back after a store's return, and
// accepts a key that was revoked in the lost seconds.
TEST_CASE("a lease that had run out waits until changes are written again")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.context.keys.renew(fleet.now);
    SUBCASE("it is valid")
    {
        fleet.now += 2s;
        read_copy(host);
        host.context.keys.renew(fleet.now);
        fleet.now += 4s;
        CHECK(host.context.keys.is_valid(fleet.now));
    }
    SUBCASE("it has run out")
    {
        fleet.now += 6s;
        read_copy(host);
        host.context.keys.renew(fleet.now + 1'900ms);
        CHECK(!host.context.keys.is_valid(fleet.now + 1'900ms));
        host.context.keys.renew(fleet.now + 2s);
        CHECK(host.context.keys.is_valid(fleet.now + 2s));
    }
}

// Guards against a lease that is renewed by what was confirmed before.
TEST_CASE("a confirmation of an earlier era renews nothing")
{
    routing::store_revisions own;
    own.configuration = 20;
    own.checked = {122, 2};
    routing::store_revisions other = own;
    CHECK(own.covers_configuration(other));
    other.checked = {500, 1};
    CHECK(!own.covers_configuration(other));
    other.checked = {1, 3};
    CHECK(own.covers_configuration(other));
    other.configuration = 21;
    CHECK(!own.covers_configuration(other));
}

// A host of an earlier version names neither eras nor versions.
TEST_CASE("a host of an earlier version is believed until there are eras")
{
    routing::store_revisions earlier;
    earlier.upstreams = 900;
    earlier.checked = 900;
    earlier.configuration_revision = 890;
    routing::store_revisions own;
    own.upstreams = 126;
    own.checked = 126;
    own.configuration = 20;
    own.configuration_revision = 110;
    CHECK(earlier.has_newer(routing::list_kind::upstreams, own));
    CHECK(earlier.has_newer(routing::list_kind::configuration, own));
    CHECK(!own.covers_configuration(earlier));
    own.upstreams = {3, 1};
    own.checked = {3, 1};
    CHECK(!earlier.has_newer(routing::list_kind::upstreams, own));
    CHECK(!earlier.has_newer(routing::list_kind::configuration, own));
    CHECK(!own.covers_configuration(earlier));
}

// Guards against requests to an upstream that left without a word between two
// returns of the store: its entry was kept for the settle time of the first.
TEST_CASE("an entry that goes between two returns is withheld after the second")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    read_copy(host);
    host.replica.apply(in_era(2, removal_item("i-1", 123)));
    host.replica.commit({123, 2});
    host.replica.enter_era(3);
    host.replica.apply(in_era(3, upstream_item("i-1", 120)));
    host.replica.retain_only({"servers/i-1"}, {122, 3});
    CHECK(!host.uses("i-1"));
    host.replica.apply(in_era(3, upstream_item("i-1", 123)));
    CHECK(host.uses("i-1"));
}

// The same where it had gone before the first return.
TEST_CASE("an entry that is withheld stays so at another return")
{
    clocked_hosts fleet;
    replica_host host(fleet.loop);
    read_first_era(host);
    host.replica.apply(in_era(1, removal_item("i-1", 127)));
    host.replica.commit({127, 1});
    read_copy(host);
    CHECK(!host.uses("i-1"));
    host.replica.enter_era(3);
    host.replica.apply(in_era(3, upstream_item("i-1", 120)));
    host.replica.retain_only({"servers/i-1"}, {122, 3});
    CHECK(!host.uses("i-1"));
}
