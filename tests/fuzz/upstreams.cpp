// Parses arbitrary bytes as the platform's list of upstreams. Nothing crashes,
// and each upstream of a list without faults has a name and a port.
#include "lists/parse_upstreams.hpp"

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
    auto const list = lists::parse_upstreams(text, "upstreams", faults);
    if (!faults.empty()) {
        return 0;
    }
    for (model::engine const& member : list.engines) {
        if (member.name.empty() || member.address.port == 0) {
            std::abort();
        }
    }
    for (model::service_instance const& member : list.services) {
        if (member.name.empty() || member.address.port == 0) {
            std::abort();
        }
    }
    return 0;
}
