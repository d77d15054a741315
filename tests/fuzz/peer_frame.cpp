// Decodes arbitrary bytes as a frame from a peer. They are either refused or
// give a message that survives encoding and decoding. Random bytes hardly ever
// pass the verifier, so the first byte of the input selects a sample message
// and the rest modifies its frame; 255 uses the rest unchanged.
#include "model/error.hpp"
#include "net/peer_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace caperjunction;

namespace {

std::string remove_length_prefix(std::string const& framed)
{
    return framed.substr(net::frame_prefix_bytes);
}

net::peer_frame decode(std::string const& bytes)
{
    return net::decode(reinterpret_cast<std::uint8_t const*>(bytes.data()),
                       bytes.size());
}

template <typename Variant, std::size_t... Places>
void add_samples(std::vector<std::string>& samples,
                 std::index_sequence<Places...> /*places*/)
{
    (samples.push_back(remove_length_prefix(
         net::encode(Variant(std::variant_alternative_t<Places, Variant>{})))),
     ...);
}

template <typename Variant>
void add_samples(std::vector<std::string>& samples)
{
    add_samples<Variant>(
        samples, std::make_index_sequence<std::variant_size_v<Variant>>{});
}

std::vector<std::string> make_samples()
{
    std::vector<std::string> samples;
    add_samples<net::peer_frame>(samples);
    add_samples<fleet::peer_message>(samples);
    add_samples<fleet::claim_message>(samples);
    return samples;
}

std::string make_frame(std::uint8_t const* data, std::size_t size)
{
    static auto const s_samples = make_samples();
    constexpr std::uint8_t raw_input = 255;
    constexpr std::size_t edit_bytes = 2;
    if (data[0] == raw_input) {
        return {reinterpret_cast<char const*>(data) + 1, size - 1};
    }
    std::string frame = s_samples[data[0] % s_samples.size()];
    for (std::size_t edit = 1; edit + 1 < size; edit += edit_bytes) {
        frame[data[edit] % frame.size()] ^= static_cast<char>(data[edit + 1]);
    }
    return frame;
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    net::peer_frame frame;
    try {
        frame = decode(make_frame(data, size));
    } catch (model::error const&) {
        return 0;
    }
    std::string const once = remove_length_prefix(net::encode(frame));
    std::string const twice = remove_length_prefix(net::encode(decode(once)));
    if (once != twice) {
        std::abort();
    }
    return 0;
}
