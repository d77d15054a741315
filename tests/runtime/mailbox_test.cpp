#include "runtime/mailbox.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caperjunction;

// A task falls behind its senders. An unbounded queue would exhaust the host's
// memory. The sender must get the failure while it can still refuse its caller.
TEST_CASE("a full mailbox leaves the message unchanged")
{
    runtime::mailbox<std::string> box(1);
    std::string first = "first";
    std::string second = "second";
    using post_result = runtime::mailbox<std::string>::post_result;
    CHECK(box.post(first) == post_result::needs_wakeup);
    CHECK(box.post(second) == post_result::full);
    CHECK(second == "second");
    CHECK(box.take_all().size() == 1);
    CHECK(box.post(second) == post_result::needs_wakeup);
}
