#include "decide/router.hpp"

#include "decide/core.hpp"

namespace caperjunction::decide {

struct router::state
{
    core own;
};

router::router(router_settings settings)
    : m_state(std::make_unique<state>(state{core(std::move(settings))}))
{
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::handle(event const& happened,
                    model::time_point now,
                    std::vector<decision>& out)
{
    m_state->own.handle(happened, now, out);
}

std::vector<std::uint8_t> router::digest(model::time_point now) const
{
    return m_state->own.digest_bytes(now);
}

} // namespace caperjunction::decide
