// Parses arbitrary bytes as the body of a caller's text request. They are
// either accepted or refused with a remedy, and the body for the engine parses
// to the same request again.
#include "net/caller_request.hpp"
#include "model/error.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace caperjunction;

namespace {

constexpr std::uint32_t output_bound = 4096;

void check_request(net::text_interface interface, std::string_view body)
{
    net::caller_request request;
    try {
        request = net::parse_caller_request(body, interface, output_bound);
    } catch (model::error const& failure) {
        if (failure.remedy().empty()) {
            std::abort();
        }
        return;
    }
    auto const again = net::parse_caller_request(
        request.upstream_body, interface, output_bound);
    bool const same = again.model == request.model
                      && again.max_output_tokens == request.max_output_tokens
                      && again.max_output_tokens <= output_bound
                      && again.prefix_blocks == request.prefix_blocks;
    if (!same) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    check_request(net::text_interface::chat, text);
    check_request(net::text_interface::completion, text);
    return 0;
}
