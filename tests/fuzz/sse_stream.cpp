// Scans arbitrary bytes as an engine's stream. The result must not depend on
// how the bytes are split into reads, and the output must not be longer than
// the input.
#include "net/answer_assembler.hpp"
#include "net/sse_scanner.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace caperjunction;

namespace {

struct outcome
{
    std::string events;
    std::uint64_t tokens = 0;
    bool done = false;
    bool overlong = false;

    friend bool operator==(outcome const&, outcome const&) = default;
};

outcome scan(std::string_view stream, std::size_t step)
{
    net::sse_scanner scanner;
    outcome result;
    for (std::size_t begin = 0; begin < stream.size(); begin += step) {
        auto const found =
            scanner.feed(stream.substr(begin, step), result.events);
        result.tokens += found.tokens;
        result.done = result.done || found.done;
        result.overlong = result.overlong || found.overlong;
    }
    return result;
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    std::string_view const stream(reinterpret_cast<char const*>(data), size);
    if (stream.empty()) {
        return 0;
    }
    outcome const single_read = scan(stream, stream.size());
    bool const same = single_read == scan(stream, 1)
                      && single_read.events.size() <= stream.size();
    if (!same) {
        std::abort();
    }
    net::answer_assembler assembler;
    if (assembler.add(single_read.events)) {
        assembler.finish();
    }
    return 0;
}
