#include "platform/configuration.hpp"
#include "platform/platform.hpp"

#include "model/error.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

char const* const sound_upstream =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":4,)"
    R"("version":"1.4",)"
    R"("state":"ready","born":1700000000000})";

} // namespace

TEST_CASE("a configuration's fields are decoded")
{
    auto const read = platform::decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("route_type":"streaming","timeout_ms":6000,"target_latency_ms":1500,)"
        R"("priority":2,"traffic_split":[{"service":"a","weight":90},)"
        R"({"service":"b","weight":10}],"max_attempts":2,"public":true,)"
        R"("session_affinity":true,"stream_resume":true,"gap_aim_ms":1000,)"
        R"("allowed_regions":["west"]}],)"
        R"("services":[{"name":"a","max_connections":620,)"
        R"("engine":{"slots":128,"kv_capacity":375021}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,)"
        R"("allowed_regions":["west","east"]},)"
        R"({"name":"u","api_keys":[]}]})");
    CHECK(read.version == 7);
    REQUIRE(read.routes.size() == 1);
    auto const& route = read.routes[0];
    CHECK(route.authority == "h");
    CHECK(route.prefix == "/p/");
    CHECK(route.kind == routing::request_kind::stream);
    CHECK(route.timeout == 6'000ms);
    CHECK(route.latency_target == 1'500ms);
    CHECK(route.max_event_gap == 1'000ms);
    CHECK(route.rank == 2);
    CHECK(route.max_attempts == 2);
    CHECK(route.is_public);
    CHECK(route.has_prompt_affinity);
    CHECK(route.resumable);
    REQUIRE(route.split.size() == 2);
    CHECK(route.split[1].weight == 10);
    CHECK(read.services[0].slots == 128);
    CHECK(read.services[0].kv_cache_tokens == 375'021);
    CHECK(read.limits.idle_timeout == 15s);
    CHECK(read.teams[0].keys.size() == 2);
    CHECK(read.teams[0].rank == 1U);
    CHECK(!read.teams[1].rank);
    CHECK(route.home_regions == std::vector<std::string>{"west"});
    CHECK(read.teams[0].home_regions.size() == 2);
    CHECK(read.teams[1].home_regions.empty());
}

TEST_CASE("an invalid configuration is refused with a remedy")
{
    for (char const* const bad : {"", "[]", "{}", R"({"version":"x"})"}) {
        CAPTURE(bad);
        try {
            platform::decode_configuration(bad);
            FAIL("was read");
        } catch (model::error const& failure) {
            CHECK(failure.kind() == model::error_kind::bad_list);
            CHECK(!failure.remedy().empty());
        }
    }
}

TEST_CASE("an upstream's entry is decoded")
{
    auto const read = platform::decode_upstream("i-1", sound_upstream);
    REQUIRE(read);
    CHECK(read->id == "i-1");
    CHECK(read->at == model::endpoint{"10.0.0.9", 8080});
    CHECK(read->data_centre == "z");
    CHECK(read->started == 1'700'000'000'000);
    CHECK(read->software_version == "1.4");
    CHECK(!read->draining);
    CHECK(read->cold_remaining == 0ms);
    auto const cold = platform::decode_upstream(
        "i-1",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":4,)"
        R"("version":"1.4","state":"ready","cold_remaining_ms":2150.5})");
    REQUIRE(cold);
    CHECK(cold->cold_remaining == 2'150ms);
}

TEST_CASE("the limit of a service's cold engines is decoded")
{
    auto const read = platform::decode_configuration(
        R"({"version":7,"routes":[],"services":[)"
        R"({"name":"a","cold_start_s":3.5,"cold_per_s":15.0},)"
        R"({"name":"b","cold_start_s":0.0,"cold_per_s":0.0}]})");
    CHECK(read.services[0].cold_start == 3'500ms);
    CHECK(read.services[0].cold_requests_per_second == 15.0);
    CHECK(read.services[1].cold_start == 0ms);
    CHECK(!read.services[1].cold_requests_per_second);
}

// Other writers store entries of their own under the upstreams' prefix. A host
// that decodes one as an upstream sends requests to it that are never answered.
TEST_CASE("entries of other writers decode to no upstream")
{
    for (
        char const* const bad :
        {"",
         "\xff\xfe",
         "[]",
         R"({"service":"s"})",
         R"({"service":3,"address":"1.1.1.1:1","zone":"z","version":"1.4","slots":4,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1","zone":"z","version":"1.4","slots":4,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:x","zone":"z","version":"1.4","slots":4,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"1.4","slots":"4","state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":4,"state":"lost"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"1.4","slots":4,"state":"ready","cold_remaining_ms":"1"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"1.4","slots":4,"state":"ready","cold_remaining_ms":-1})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"1.4","slots":4,"state":"ready","cold_remaining_ms":1e300})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"1.4","slots":4,"state":"ready","born":1.5})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":4,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":"","slots":4,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","version":2,"slots":4,"state":"ready"})"}) {
        CAPTURE(bad);
        CHECK(!platform::decode_upstream("i-1", bad));
    }
    CHECK(rc::check([](std::string const& bytes) {
        platform::decode_upstream("i-1", bytes);
    }));
}

// Guards against numbers that are read as other ones: a port as its remainder,
// slots as none or as thousands of millions.
TEST_CASE("an upstream's entry with an odd number or address is unreadable")
{
    auto const entry = [](std::string const& address,
                          std::string const& slots) {
        return R"({"service":"s","address":")" + address
               + R"(","zone":"z","version":"1.4","state":"ready","slots":)"
               + slots + "}";
    };
    REQUIRE(platform::decode_upstream("i-1", entry("10.0.0.9:8080", "4")));
    for (std::string const address : {"10.0.0.9:4294967376",
                                      "10.0.0.9:65536",
                                      "10.0.0.9:0",
                                      "10.0.0.9:80x",
                                      "10.0.0.9:+80",
                                      "10.0.0.9: 80",
                                      "10.0.0.9:",
                                      "10.0.0.999:80",
                                      "10.0.0:80",
                                      "engine:80",
                                      ":80"}) {
        CAPTURE(address);
        CHECK_FALSE(platform::decode_upstream("i-1", entry(address, "4")));
    }
    for (std::string const slots : {"4294967296",
                                    "4294967300",
                                    "9223372036854775808",
                                    "18446744073709551615",
                                    "18446744073709551616",
                                    "65537",
                                    "-1",
                                    "1e3"}) {
        CAPTURE(slots);
        CHECK_FALSE(
            platform::decode_upstream("i-1", entry("10.0.0.9:8080", slots)));
    }
    constexpr std::size_t depth = 100'000;
    CHECK_FALSE(platform::decode_upstream("i-1", std::string(depth, '[')));
    CHECK_FALSE(platform::decode_upstream(
        "i-1",
        entry("10.0.0.9:8080",
              std::string(depth, '[') + std::string(depth, ']'))));
}

// Guards against one odd item that makes a whole page unreadable, so that the
// host stops following the list.
TEST_CASE("an item that can't be read spoils no other one of its page")
{
    auto const codec = platform::store_codec();
    for (std::string const odd :
         {R"("revision":5,"value":"not base64!")",
          R"("revision":5,"value":7)",
          R"("revision":5,"value":"e30=","tombstone":"yes")",
          R"("revision":"5","value":"e30=")",
          R"("revision":1e300,"value":"e30=")",
          R"("value":"e30=")"}) {
        CAPTURE(odd);
        auto const read = codec.read_range(
            R"({"store_revision":9,"items":[{"key":"servers/odd",)" + odd
            + R"(},{"key":"servers/i-1","revision":6,"value":"e30="}]})");
        REQUIRE(read.items.size() == 2);
        CHECK(std::holds_alternative<proxy::unreadable_upstream>(
            codec.decode(read.items[0])));
        CHECK(read.items[0].revision >= 5);
        CHECK(read.items[1].key == "servers/i-1");
        CHECK(read.items[1].value == "{}");
    }
}

// Guards against a position that depends on the processor: a float that is too
// large for a whole number became 0 on one and the largest number on another.
TEST_CASE("an answer whose revision is no whole number is refused")
{
    auto const codec = platform::store_codec();
    for (std::string const revision : {"1e300", "-1", "1.5", "\"9\"", "null"}) {
        CAPTURE(revision);
        CHECK_THROWS(codec.read_range(R"({"items":[],"store_revision":)"
                                      + revision + "}"));
        CHECK_THROWS(codec.read_watch(R"({"events":[],"store_revision":)"
                                      + revision + "}"));
    }
}

TEST_CASE("store items become records")
{
    auto const codec = platform::store_codec();
    proxy::store_item item{"servers/i-1", sound_upstream, 5, false};
    CHECK(std::holds_alternative<routing::upstream>(codec.decode(item)));
    item.removed = true;
    CHECK(std::holds_alternative<proxy::removed_upstream>(codec.decode(item)));
    item = {"servers/i-1", "junk", 5, false};
    CHECK(
        std::holds_alternative<proxy::unreadable_upstream>(codec.decode(item)));
    item = {"someone/else", "junk", 5, false};
    CHECK(std::holds_alternative<std::monostate>(codec.decode(item)));
    item = {"op/evacuate/otaru", "{}", 5, false};
    auto record = codec.decode(item);
    CHECK(std::get<proxy::evacuation>(record).data_centre == "otaru");
    CHECK(std::get<proxy::evacuation>(record).is_active);
    item.removed = true;
    record = codec.decode(item);
    CHECK(!std::get<proxy::evacuation>(record).is_active);
    CHECK(codec.upstream_id("op/evacuate/otaru").empty());
    CHECK(codec.upstream_id("servers/i-1") == "i-1");
    CHECK(codec.upstream_id("op/config").empty());
}
