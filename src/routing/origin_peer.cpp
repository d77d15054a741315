#include "routing/origin_peer.hpp"

#include <algorithm>
#include <cstddef>
#include <random>

namespace caperjunction::routing {
namespace {

constexpr std::size_t max_holders = 3;
constexpr std::size_t max_remote_holders = 1;

} // namespace

std::vector<origin_peer> choose_origin_holders(std::vector<origin_peer> peers,
                                               std::uint64_t random_value)
{
    std::shuffle(peers.begin(), peers.end(), std::mt19937_64(random_value));
    auto const is_local = [](origin_peer const& item) {
        return item.is_in_data_centre;
    };
    auto const remote =
        std::stable_partition(peers.begin(), peers.end(), is_local);
    auto const locals = static_cast<std::size_t>(remote - peers.begin());
    std::size_t const remotes = peers.size() - locals;
    std::size_t const local_share =
        std::min(locals, max_holders - std::min(remotes, max_remote_holders));
    std::size_t const remote_share =
        std::min(remotes, max_holders - local_share);
    std::vector<origin_peer> chosen(
        peers.begin(),
        peers.begin() + static_cast<std::ptrdiff_t>(local_share));
    chosen.insert(chosen.end(),
                  remote,
                  remote + static_cast<std::ptrdiff_t>(remote_share));
    return chosen;
}

} // namespace caperjunction::routing
