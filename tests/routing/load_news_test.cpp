#include "routing/load_news.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::load_news;
using routing::peer_load;

namespace {

std::vector<peer_load> loads(std::uint32_t running, std::uint64_t unread)
{
    return {{1, {running, unread, 0}, {}}, {2, {3, 0, 0}, {}}};
}

} // namespace

TEST_CASE("a queue that grows is news, a request more is not")
{
    load_news news;
    news.told(loads(2, 1'000), start);
    CHECK(!news.is_news(loads(3, 2'000), start + 1s));
    CHECK(news.is_news(loads(3, 6'000), start + 1s));
    CHECK(news.is_news(loads(9, 1'000), start + 1s));
}

// A burst that has ended is news as well: else hosts far away would go on
// avoiding an engine that is free.
TEST_CASE("a queue that shrinks is news")
{
    load_news news;
    news.told({{1, {2, 9'000, 0}, {}}, {2, {1, 0, 0}, {}}}, start);
    CHECK(news.is_news({{1, {2, 0, 0}, {}}, {2, {1, 0, 0}, {}}}, start + 1s));
    news.told({{1, {1, 0, 0}, {}},
               {2, {1, 0, 0}, {}},
               {3, {1, 0, 0}, {}},
               {4, {1, 0, 0}, {}}},
              start);
    CHECK(news.is_news({}, start + 1s));
}

TEST_CASE("news are told at a bounded pace")
{
    load_news news;
    news.told(loads(2, 1'000), start);
    CHECK(!news.is_news(loads(50, 90'000), start + 100ms));
    CHECK(news.is_news(loads(50, 90'000), start + 200ms));
}
