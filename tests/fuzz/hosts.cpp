// Parses arbitrary bytes as the platform's list of hosts. Nothing crashes, and
// each host of a list without faults has a name and a peer port.
#include "lists/parse_hosts.hpp"

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
    auto const list = lists::parse_hosts(text, "hosts", faults);
    if (!faults.empty()) {
        return 0;
    }
    for (model::host const& member : list.members) {
        if (member.name.empty() || member.peers.port == 0) {
            std::abort();
        }
    }
    return 0;
}
