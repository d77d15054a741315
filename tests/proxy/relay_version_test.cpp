#include "proxy/host_fleet.hpp"
#include "proxy/stream_software.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string const answer_end = "0\r\n\r\n";

std::string event_of(std::string const& version, int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: " + version + "\n\n");
}

/// Whether a caller's answer holds an event of this version.
bool has_event_of(plain_client const& caller, std::string const& version)
{
    return caller.received_bytes.find("data: " + version + "\n")
           != std::string::npos;
}

bool has_whole_answer(plain_client const& caller)
{
    return caller.received_bytes.find(answer_end) != std::string::npos;
}

bool is_mixed(plain_client const& caller)
{
    return has_event_of(caller, "v1") && has_event_of(caller, "v2");
}

/// Whether a request goes on after an event that its caller has.
bool goes_on(received const& request)
{
    return request.head.find("Last-Event-Id") != nullptr;
}

/// Sends one event and breaks off; goes on with the last event.
script breaking(received const& request, std::string const& version)
{
    if (goes_on(request)) {
        return {stream_head() + event_of(version, 2) + answer_end};
    }
    script broken{stream_head() + event_of(version, 1)};
    broken.resets = true;
    return broken;
}

scripted_upstream& add_version(relay_fixture& fixture,
                               std::string const& id,
                               std::string const& version,
                               std::function<script(received const&)> answer)
{
    auto& added = fixture.add(id, "ledger", std::move(answer));
    auto described = fixture.context.directory.find(id)->description;
    described.software_version = version;
    fixture.context.directory.put(described);
    return added;
}

std::shared_ptr<plain_client> ask(relay_fixture& fixture, std::string const& id)
{
    std::size_t const ended = fixture.outcomes.size() + 1;
    // Other bodies, so that none counts as the one that crashes engines.
    auto caller = fixture.send(relay_fixture::request("/resume/", id, "", id));
    fixture.context.keys.renew(fixture.loop.now());
    CHECK(fixture.run_until([&fixture, ended] {
        return fixture.outcomes.size() >= ended;
    }));
    fixture.run_for(20ms);
    return caller;
}

constexpr int streams = 12;

} // namespace

// Guards against an answer that holds events of two software versions.
TEST_CASE("a broken stream goes on at the software version that began it")
{
    relay_fixture fixture;
    fixture.context.settings.retry_extra = 10'000;
    for (int engine = 1; engine <= 4; ++engine) {
        std::string const version = engine % 2 == 0 ? "v2" : "v1";
        add_version(fixture,
                    "i-" + std::to_string(engine),
                    version,
                    [version](received const& request) {
                        return breaking(request, version);
                    });
    }
    int mixed = 0;
    for (int number = 0; number < streams; ++number) {
        auto const caller = ask(fixture, "s" + std::to_string(number));
        mixed += is_mixed(*caller) ? 1 : 0;
        CHECK(has_whole_answer(*caller));
    }
    CHECK(mixed == 0);
}

// Guards against a version that is fixed by an attempt that brought no event.
TEST_CASE("a stream without an event may begin at another software version")
{
    for (std::string const& begun : {std::string(), chunk(": wait\n\n")}) {
        CAPTURE(begun);
        relay_fixture fixture;
        add_version(fixture, "i-1", "v1", [begun](received const&) {
            script broken{stream_head() + begun};
            broken.resets = true;
            return broken;
        });
        auto const first = ask(fixture, "first");
        CHECK_FALSE(has_whole_answer(*first));
        add_version(fixture, "i-2", "v2", [](received const&) {
            return script{stream_head() + event_of("v2", 1) + answer_end};
        });
        for (int number = 0; number < 3; ++number) {
            CHECK(has_whole_answer(*ask(fixture, std::to_string(number))));
        }
    }
}

// Guards against two versions in one answer where a host reads too late that an
// engine has started again, with other software.
TEST_CASE("a stream is cut if its engine has started again at another version")
{
    relay_fixture fixture;
    auto const answer = [](received const& request) {
        script broken = breaking(request, "v1");
        broken.resets = false;
        return broken;
    };
    auto& one = add_version(fixture, "i-1", "v1", answer);
    auto const caller = fixture.send(relay_fixture::request("/resume/", "s1"));
    CHECK(fixture.run_until([&caller] {
        return has_event_of(*caller, "v1");
    }));
    auto& two = add_version(fixture, "i-2", "v1", answer);
    auto described = fixture.context.directory.find("i-1")->description;
    described.software_version = "v2";
    described.started = 7;
    fixture.context.directory.put(described);
    one.reset_all();
    CHECK(fixture.run_until([&fixture] {
        return !fixture.outcomes.empty();
    }));
    CHECK(fixture.outcomes == std::vector<std::string>{"cut"});
    CHECK(two.requests.empty());
}

// Guards against a caller who waits for an engine that can't come back.
TEST_CASE("a stream of a version that has gone is refused for good")
{
    relay_fixture fixture;
    auto const sound = [](received const&) {
        return script{stream_head() + event_of("v2", 2) + answer_end};
    };
    add_version(fixture, "i-1", "v1", sound);
    auto& two = add_version(fixture, "i-2", "v2", sound);
    auto const one = fixture.context.directory.find("i-1");
    fixture.context.origins.record({routing::stream_key("s1"), one->software},
                                   fixture.loop.now());
    SUBCASE("it leaves")
    {
        fixture.context.directory.record_leaving(*one);
    }
    SUBCASE("its entry is gone")
    {
        fixture.context.directory.remove("i-1", fixture.loop.now());
    }
    auto const caller = fixture.send(relay_fixture::request(
        "/resume/", "t1", "Resumes: s1\r\nLast-Event-Id: 1\r\n"));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.outcomes.empty();
    }));
    fixture.run_for(20ms);
    CHECK(caller->received_bytes.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(caller->received_bytes.find("version_gone") != std::string::npos);
    CHECK(caller->received_bytes.find("Retry-After") == std::string::npos);
    CHECK(two.requests.empty());
}

// Guards against a host that guesses the version of a stream that it can't
// know.
TEST_CASE("a stream whose version is unknown is refused with Retry-After")
{
    struct variant
    {
        std::string second_version;
        std::string headers;
        model::milliseconds history;
        bool is_served;
    };

    std::string const event_id = "Last-Event-Id: 1\r\n";
    std::string const names_stream = "Resumes: s1\r\n" + event_id;
    for (variant const& item : {variant{"v2", names_stream, 1min, false},
                                variant{"v2", event_id, 1min, false},
                                variant{"v1", names_stream, 0ms, false},
                                variant{"v1", names_stream, 1min, true},
                                variant{"v1", event_id, 1min, true}}) {
        CAPTURE(item.second_version);
        CAPTURE(item.headers);
        relay_fixture fixture;
        for (std::string const& version :
             {std::string("v1"), item.second_version}) {
            add_version(fixture,
                        "i-" + std::to_string(fixture.context.directory.size()),
                        version,
                        [version](received const&) {
                            return script{stream_head() + event_of(version, 2)
                                          + answer_end};
                        });
        }
        fixture.age_history(item.history);
        auto const caller = fixture.send(
            relay_fixture::request("/resume/", "t1", item.headers));
        REQUIRE(fixture.run_until([&fixture] {
            return !fixture.outcomes.empty();
        }));
        fixture.run_for(20ms);
        std::string const& got = caller->received_bytes;
        CHECK(has_whole_answer(*caller) == item.is_served);
        CHECK((got.rfind("HTTP/1.1 503", 0) == 0) == !item.is_served);
        CHECK((got.find("Retry-After") != std::string::npos)
              == !item.is_served);
        CHECK((got.find("version_unknown") != std::string::npos)
              == !item.is_served);
    }
}

namespace {

/// Hosts with engines of two versions, each of which sends one event and waits,
/// and goes on where it is asked to.
class version_fleet
{
public:
    explicit version_fleet(std::vector<std::string> const& data_centres)
        : fleet(data_centres, 4)
    {
        for (std::size_t upstream = 0; upstream < 4; ++upstream) {
            versions.push_back("");
            set_version(upstream, upstream % 2 == 0 ? "v1" : "v2");
        }
        fleet.answer = [this](received const& request) -> script {
            std::string const& engine = *request.head.find("Expect-Instance");
            std::string const& version =
                versions[std::stoul(engine.substr(2)) - 1];
            if (goes_on(request)) {
                return {stream_head() + event_of(version, 2) + answer_end};
            }
            return {stream_head() + event_of(version, 1)};
        };
        fleet.run_for(300ms);
    }

    void set_version(std::size_t upstream, std::string const& version)
    {
        versions[upstream] = version;
        fleet.set_version(upstream, version);
    }

    void begin(std::size_t host, int count)
    {
        for (int number = 0; number < count; ++number) {
            std::string const id = "s" + std::to_string(begun.size());
            begun.push_back(fleet.send(host, "/resume/", id));
        }
        fleet.run_for(200ms);
        for (first_try const& item : begun) {
            plain_client const& caller = *item.caller;
            REQUIRE(has_event_of(caller, "v1") != has_event_of(caller, "v2"));
        }
    }

    /// Takes all streams up, in turn at these hosts.
    void take_up(std::vector<std::size_t> const& at)
    {
        std::vector<first_try> taken_up;
        for (std::size_t number = 0; number < begun.size(); ++number) {
            std::string const& id = begun[number].id;
            taken_up.push_back(
                fleet.send(at[number % at.size()],
                           "/resume/",
                           "t" + std::to_string(++m_takeovers),
                           "Resumes: " + id + "\r\nLast-Event-Id: 1\r\n"));
        }
        fleet.run_for(500ms);
        mixed = 0;
        went_on = 0;
        for (std::size_t number = 0; number < begun.size(); ++number) {
            plain_client const& caller = *taken_up[number].caller;
            bool const is_first = has_event_of(*begun[number].caller, "v1");
            mixed += has_event_of(caller, is_first ? "v2" : "v1") ? 1 : 0;
            went_on += has_event_of(caller, is_first ? "v1" : "v2") ? 1 : 0;
        }
    }

    host_fleet fleet;
    std::vector<std::string> versions;
    std::vector<first_try> begun;
    int mixed = 0;
    int went_on = 0;

private:
    int m_takeovers = 0;
};

} // namespace

// Guards against a caller whose stream goes on at another software version
// because the host that it asks is not the one that began the stream.
TEST_CASE("a stream that callers take up goes on at its software version")
{
    version_fleet test({"a", "a", "b", "b"});
    test.begin(0, streams);
    SUBCASE("its host lives")
    {
    }
    SUBCASE("its host is killed")
    {
        test.fleet.kill(0);
    }
    test.fleet.run_for(20ms);
    test.take_up({1, 2, 3});
    CHECK(test.mixed == 0);
    CHECK(test.went_on >= streams * 9 / 10);
    // Once more, by the id of the first attempt.
    test.take_up({3, 1, 2});
    CHECK(test.mixed == 0);
    CHECK(test.went_on >= streams * 9 / 10);
}

// Guards against streams that nobody remembers because they began before a
// second version served.
TEST_CASE("a stream that began before a rollout goes on at its version")
{
    version_fleet test({"a", "a", "b", "b"});
    test.set_version(1, "v1");
    test.set_version(3, "v1");
    for (auto const& host : test.fleet.hosts) {
        make_history(host->context, 1min);
    }
    test.begin(0, streams);
    for (std::size_t host = 1; host < 4; ++host) {
        CHECK(test.fleet.hosts[host]->context.origins.size() == 0);
    }
    test.set_version(1, "v2");
    test.set_version(3, "v2");
    test.fleet.run_for(400ms);
    test.fleet.kill(0);
    test.take_up({1, 2, 3});
    CHECK(test.mixed == 0);
    CHECK(test.went_on >= streams * 9 / 10);
}

// Guards against a host that missed the begin of a release, and takes the only
// version that it knows for the one that began a stream.
TEST_CASE("a host out of step during a release takes up no stream by guess")
{
    constexpr std::size_t late = 3;
    version_fleet test({"a", "a", "b", "b"});
    auto& hosts = test.fleet.hosts;
    std::vector<routing::upstream> joining;
    for (std::size_t engine = 0; engine < 4; ++engine) {
        test.set_version(engine, "v1");
    }
    for (auto const& host : hosts) {
        auto& directory = host->context.directory;
        for (std::string const id : {"i-3", "i-4"}) {
            joining.push_back(directory.find(id)->description);
            directory.remove(id, test.fleet.loop.now());
        }
        make_history(host->context, 1min);
        host->context.keys.renew(test.fleet.loop.now());
    }
    test.fleet.out_of_step = late;
    test.fleet.run_for(1'500ms);
    test.versions = {"v1", "v1", "v2", "v2"};
    for (std::size_t number = 0; number < 2 * late; ++number) {
        auto& joined = joining[number];
        joined.software_version = "v2";
        joined.started = 100;
        hosts[number / 2]->context.directory.put(joined);
        hosts[number / 2]->context.known.upstreams = joined.started;
    }
    test.begin(0, 2 * streams);
    CHECK(std::any_of(
        test.begun.begin(), test.begun.end(), [](first_try const& made) {
            return has_event_of(*made.caller, "v2");
        }));
    SUBCASE("it stood still")
    {
    }
    SUBCASE("it is cut off from the others")
    {
        for (std::size_t host = 0; host < late; ++host) {
            test.fleet.kill(host);
        }
        // Nothing that they have told has come.
        hosts[late]->context.origins = routing::stream_origins{};
    }
    test.take_up({late});
    CHECK(test.mixed == 0);
}

// Guards against a host that goes by an old list: an engine may have started
// again under its id since, with other software.
TEST_CASE("hosts whose lists are old take no stream up")
{
    version_fleet test({"a", "a", "b", "b"});
    test.begin(0, streams);
    for (auto const& host : test.fleet.hosts) {
        host->context.settings.key_lifetime = 0ms;
    }
    test.take_up({1, 2, 3});
    CHECK(test.mixed == 0);
    CHECK(test.went_on == 0);
}

// Guards against an engine that starts again, with other software, while a host
// has silently lost the store.
TEST_CASE("a stream isn't taken to an engine that may have started again")
{
    using proxy::is_software_certain;
    relay_fixture fixture;
    add_version(fixture, "i-1", "v1", [](received const&) {
        return script{};
    });
    auto const engine = fixture.context.directory.find("i-1");
    auto const begin = fixture.context.lease_now();
    fixture.context.keys.renew(begin);
    CHECK(is_software_certain(fixture.context, *engine));
    engine->broken_at = begin + 500ms;
    CHECK(is_software_certain(fixture.context, *engine));
    fixture.boot_offset = 2s;
    CHECK_FALSE(is_software_certain(fixture.context, *engine));
    fixture.context.keys.renew(begin + 1s);
    CHECK(is_software_certain(fixture.context, *engine));
    fixture.boot_offset = 7s;
    CHECK_FALSE(is_software_certain(fixture.context, *engine));
    fixture.context.keys.renew(begin + 7s);
    fixture.context.list_behind_since = fixture.loop.now() - 2s;
    CHECK_FALSE(is_software_certain(fixture.context, *engine));
}

// The read that tells the list's age may be the one that fails: what was
// confirmed before has no age from then on.
TEST_CASE("software isn't certain if the clock is lost with the question")
{
    relay_fixture fixture;
    add_version(fixture, "i-1", "v1", [](received const&) {
        return script{};
    });
    auto const engine = fixture.context.directory.find("i-1");
    fixture.context.keys.renew(fixture.loop.now());
    fixture.context.lease_now = [&fixture] {
        fixture.context.keys.clock_lost();
        return fixture.loop.now();
    };
    CHECK_FALSE(proxy::is_software_certain(fixture.context, *engine));
}
