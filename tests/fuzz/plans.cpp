// Parses arbitrary bytes as the list of plans and checks the result. Nothing
// crashes, each fault has a remedy, and no fault's path contains a line break.
#include "lists/check.hpp"
#include "lists/parse.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace caperjunction;

// NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    std::vector<lists::fault> faults;
    auto const plans = lists::parse_plans(text, "plans", faults);
    for (lists::fault const& item : faults) {
        if (item.remedy.empty() || item.path.find('\n') != std::string::npos) {
            std::abort();
        }
    }
    lists::check(plans, {});
    return 0;
}
