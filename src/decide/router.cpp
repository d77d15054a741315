#include "decide/router.hpp"

#include "decide/core.hpp"

namespace caperjunction::decide {

struct router::state
{
    core logic;
};

router::router(router_settings settings)
    : m_state(std::make_unique<state>(state{core(std::move(settings))}))
{
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::handle(event const& input,
                    model::time_point now,
                    std::vector<decision>& out)
{
    m_state->logic.handle(input, now, out);
}

std::vector<std::uint8_t> router::digest(model::time_point now) const
{
    return m_state->logic.digest_bytes(now);
}

} // namespace caperjunction::decide
