#include "fleet/neighbours.hpp"

#include "fleet/hashing.hpp"

#include <cstdint>
#include <set>

namespace caperjunction::fleet {
namespace {

constexpr std::uint64_t rings_in_region = 2;
constexpr std::uint64_t rings_in_all = 1;

/// Finds the two hosts adjacent to `self` on one ring, in one pass.
class ring_search
{
public:
    ring_search(ring_host const& self, std::uint64_t ring)
        : m_ring(ring)
        , m_self(position(self))
    {
    }

    void visit(ring_host const& host)
    {
        // Unsigned distances wrap around, which closes the ring.
        std::uint64_t const forward = position(host) - m_self;
        std::uint64_t const backward = m_self - position(host);
        if (m_next == nullptr || forward < m_forward) {
            m_next = &host;
            m_forward = forward;
        }
        if (m_previous == nullptr || backward < m_backward) {
            m_previous = &host;
            m_backward = backward;
        }
    }

    void collect(std::set<std::string>& names) const
    {
        if (m_next != nullptr) {
            names.insert(m_next->name);
            names.insert(m_previous->name);
        }
    }

private:
    std::uint64_t position(ring_host const& host) const
    {
        return hash_text(host.name, m_ring);
    }

    std::uint64_t m_ring;
    std::uint64_t m_self;
    ring_host const* m_next = nullptr;
    ring_host const* m_previous = nullptr;
    std::uint64_t m_forward = 0;
    std::uint64_t m_backward = 0;
};

} // namespace

std::vector<std::string> neighbours_of(ring_host const& self,
                                       std::vector<ring_host> const& hosts,
                                       std::size_t full_mesh)
{
    std::set<std::string> names;
    bool const is_full_mesh = hosts.size() <= full_mesh;
    for (std::uint64_t ring = 0; ring < rings_in_region + rings_in_all;
         ++ring) {
        ring_search search(self, ring);
        for (ring_host const& host : hosts) {
            bool const on_ring =
                ring >= rings_in_region || host.region == self.region;
            if (host.name == self.name) {
                continue;
            }
            if (is_full_mesh) {
                names.insert(host.name);
            } else if (on_ring) {
                search.visit(host);
            }
        }
        search.collect(names);
    }
    return {names.begin(), names.end()};
}

} // namespace caperjunction::fleet
