#include "proxy/host_fleet.hpp"

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

// Guards against a caller whose stream goes on at another software version
// because the host that it asks is not the one that began the stream.
TEST_CASE("a stream that callers take up goes on at its software version"
          * doctest::should_fail())
{
    host_fleet fleet({"a", "a", "b", "b"}, 4);
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        fleet.set_version(upstream, upstream % 2 == 0 ? "v1" : "v2");
    }
    fleet.answer = [](received const& request) -> script {
        std::string const& engine = *request.head.find("Expect-Instance");
        std::string const version =
            engine == "i-1" || engine == "i-3" ? "v1" : "v2";
        if (goes_on(request)) {
            return {stream_head() + event_of(version, 2) + answer_end};
        }
        return {stream_head() + event_of(version, 1)};
    };
    fleet.run_for(100ms);
    std::vector<first_try> begun;
    for (int number = 0; number < streams; ++number) {
        begun.push_back(
            fleet.send(0, "/resume/", "s" + std::to_string(number)));
    }
    fleet.run_for(200ms);
    fleet.kill(0);
    fleet.run_for(20ms);
    std::vector<first_try> taken_up;
    for (std::size_t number = 0; number < begun.size(); ++number) {
        taken_up.push_back(fleet.send(1 + number % 3,
                                      "/resume/",
                                      "t" + std::to_string(number),
                                      "Resumes: " + begun[number].id
                                          + "\r\nLast-Event-Id: 1\r\n"));
    }
    fleet.run_for(500ms);
    int mixed = 0;
    int went_on = 0;
    for (std::size_t number = 0; number < begun.size(); ++number) {
        plain_client const& first = *begun[number].caller;
        plain_client const& second = *taken_up[number].caller;
        REQUIRE(has_event_of(first, "v1") != has_event_of(first, "v2"));
        std::string const began = has_event_of(first, "v1") ? "v1" : "v2";
        std::string const other = began == "v1" ? "v2" : "v1";
        mixed += has_event_of(second, other) ? 1 : 0;
        went_on += has_event_of(second, began) ? 1 : 0;
    }
    CHECK(mixed == 0);
    CHECK(went_on >= streams * 9 / 10);
}
