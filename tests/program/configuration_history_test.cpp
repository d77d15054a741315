#include "program/configuration_history.hpp"

#include "proxy/text_packer.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <random>
#include <string>

using namespace caperjunction;

namespace {

/// Returns a configuration with many routes whose names share no substrings.
proxy::store_item many_routes(std::uint64_t revision, int timeout_ms)
{
    std::minstd_rand random(7);
    std::string text;
    for (int number = 0; number < 1'400; ++number) {
        text += fmt::format(R"({{"id":"r-{:x}","host":"{:x}.example",)"
                            R"("prefix":"/{:x}/","timeout_ms":{},)"
                            R"("route_type":"idempotent","attempts":2}},)",
                            random(),
                            random() % 40,
                            random(),
                            number == 700 ? timeout_ms : 5'000);
    }
    return {"op/config", text, revision, false};
}

} // namespace

// Each host of a data centre receives the text over a link that also carries
// answers to callers. Twelve uncompressed copies saturate it for seconds.
TEST_CASE("a large configuration is sent in a fraction of its size")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000), 10);
    std::size_t const full_size = sender.newest().value.size();
    CHECK(sender.pack(0).packed.size() * 5 < full_size);
}

// The cost of a change of one line is one line, not the complete text.
TEST_CASE("a host with the previous configuration gets the delta")
{
    program::configuration_history sender;
    program::configuration_history receiver;
    sender.add(many_routes(10, 5'000), 10);
    receiver.add(*receiver.unpack(sender.pack(0)), 10);
    sender.add(many_routes(14, 4'000), 14);

    auto const packed_item = sender.pack(receiver.version());
    CHECK(packed_item.base_version == 10);
    CHECK(packed_item.packed.size() < 1'000);
    auto const unpacked = receiver.unpack(packed_item);
    REQUIRE(unpacked);
    CHECK(unpacked->value == sender.newest().value);
    CHECK(unpacked->revision == 14);
}

TEST_CASE("a host with an unknown base gets the full text")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000), 10);
    auto const packed_item = sender.pack(9);
    CHECK(packed_item.base_version == 0);
    program::configuration_history receiver;
    CHECK(receiver.unpack(packed_item)->value == sender.newest().value);
    // After many changes, the oldest bases are no longer stored.
    for (std::uint64_t revision = 11; revision < 20; ++revision) {
        sender.add(many_routes(revision, 5'000), revision);
    }
    CHECK(sender.pack(10).base_version == 0);
    CHECK(sender.pack(18).base_version == 18);
}

TEST_CASE("a delta against an unknown base is rejected")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000), 10);
    sender.add(many_routes(14, 4'000), 14);
    program::configuration_history receiver;
    CHECK(!receiver.unpack(sender.pack(10)));
}

TEST_CASE("packing round-trips any text, and no input crashes unpacking")
{
    CHECK(rc::check([](std::string const& text, std::string const& base) {
        auto const packed = proxy::pack_text(text, base);
        RC_ASSERT(proxy::unpack_text(packed, base, text.size()) == text);
        proxy::unpack_text(text, base, 1'000);
        if (!text.empty()) {
            RC_ASSERT(!proxy::unpack_text(packed, base, text.size() - 1));
        }
    }));
}
