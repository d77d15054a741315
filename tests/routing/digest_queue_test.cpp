#include "routing/digest_queue.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;
using routing::digest_queue;
using routing::peer_table;

namespace {

std::vector<peer_table::recipient> recipients(int first, int count)
{
    std::vector<peer_table::recipient> list;
    for (int number = first; number < first + count; ++number) {
        list.push_back({{"10.0.0." + std::to_string(number), 7'000}});
    }
    return list;
}

} // namespace

TEST_CASE("a batch of digests is bounded")
{
    digest_queue queue;
    queue.add(recipients(0, 60));
    std::size_t sent = 0;
    queue.send_batch([&sent](peer_table::recipient const&) {
        ++sent;
        return std::size_t{4'096};
    });
    CHECK(sent == 3);
    CHECK(!queue.is_empty());
}

// Guards against hosts at the end of the list that never get loads: the next
// digests are due before all recipients of the previous ones were served.
TEST_CASE("all recipients of digests get their turn on a narrow link")
{
    digest_queue queue;
    std::vector<int> received(60, 0);
    for (int batch = 0; batch < 200; ++batch) {
        if (batch % 10 == 0) {
            queue.add(recipients(0, 60));
        }
        queue.send_batch([&received](peer_table::recipient const& to) {
            ++received[std::stoul(to.at.address.substr(7))];
            return std::size_t{4'096};
        });
    }
    for (int const count : received) {
        CHECK(count == 10);
    }
}

TEST_CASE("a recipient that waits in the queue keeps its requests")
{
    digest_queue queue;
    auto first = recipients(0, 1);
    first[0].max_neighbours = 16;
    queue.add(first);
    auto second = recipients(0, 1);
    second[0].requests_reply = true;
    second[0].kind = routing::digest_kind::loads;
    queue.add(second);
    std::vector<peer_table::recipient> sent;
    queue.send_batch([&sent](peer_table::recipient const& to) {
        sent.push_back(to);
        return std::size_t{1};
    });
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].max_neighbours == 16);
    CHECK(sent[0].requests_reply);
    CHECK(sent[0].kind == routing::digest_kind::loads);
}
