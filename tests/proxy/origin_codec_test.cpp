#include "proxy/digest_codec.hpp"
#include "proxy/origin_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace caperjunction;

namespace {

proxy::origin_message read(std::string const& bytes)
{
    REQUIRE(proxy::is_origin_message(bytes));
    auto const message = proxy::decode_origin_message(bytes);
    REQUIRE(message);
    return *message;
}

} // namespace

TEST_CASE("messages about streams are read as they were written")
{
    proxy::origin_message told;
    told.begun = {{1, {2, 3}}, {4, {5, 6}}};
    CHECK(read(proxy::encode_origin_message(told)).begun == told.begun);

    proxy::origin_message question;
    question.question = 7;
    question.asked = {8, 9};
    auto const asked = read(proxy::encode_origin_message(question));
    CHECK(asked.question == 7);
    CHECK(asked.asked.stream == 8);
    CHECK(asked.asked.service == 9);

    proxy::origin_message answer;
    answer.answer = 7;
    answer.claim = {routing::origin_knowledge::recorded, {10, 11}};
    auto const answered = read(proxy::encode_origin_message(answer));
    CHECK(answered.answer == 7);
    CHECK(answered.claim == answer.claim);
    CHECK(answered.question == 0);
}

// Guards against hosts of earlier versions that take such a message for a
// digest, and against messages that fill the links.
TEST_CASE("a message about streams is short, and is no digest")
{
    proxy::origin_message told;
    told.begun = {{1, {2, 3}}};
    std::string const one = proxy::encode_origin_message(told);
    told.begun.resize(40, told.begun.front());
    std::string const full = proxy::encode_origin_message(told);
    MESSAGE("bytes: one stream ", one.size(), ", 40 streams ", full.size());
    CHECK(one.size() <= 80);
    CHECK(full.size() <= 1'100);
    CHECK_FALSE(proxy::decode_digest(one));
    CHECK_FALSE(proxy::decode_digest(full));
}

TEST_CASE("no bytes crash the reader of messages about streams")
{
    CHECK(rc::check([](std::string const& bytes) {
        proxy::decode_origin_message("\xff\xff\xff\xff" + bytes);
    }));
}
