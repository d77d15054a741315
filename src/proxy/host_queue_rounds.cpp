#include "proxy/host_queue_rounds.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperjunction::proxy {

host_queue_rounds::host_queue_rounds(runtime::event_loop& loop)
    : m_loop(loop)
{
}

host_queue_rounds::~host_queue_rounds()
{
    m_loop.cancel(m_timer);
}

std::optional<std::uint64_t>
host_queue_rounds::try_add(routing::waiting_request const& added, hooks actions)
{
    auto const number = m_queue.try_add(added, [this](std::uint64_t displaced) {
        refuse(displaced);
    });
    if (number) {
        m_hooks.emplace(*number, std::move(actions));
        arm_next_round();
    }
    return number;
}

void host_queue_rounds::remove(std::uint64_t number)
{
    m_queue.remove(number);
    m_hooks.erase(number);
}

void host_queue_rounds::run_soon(std::string_view service)
{
    if (m_queue.has_service(service)) {
        arm(m_loop.now());
    }
}

void host_queue_rounds::refuse_all()
{
    auto const all = m_hooks;
    for (auto const& [number, actions] : all) {
        refuse(number);
    }
}

void host_queue_rounds::refuse(std::uint64_t number)
{
    auto const found = m_hooks.find(number);
    if (found != m_hooks.end()) {
        // The request removes its hooks while they run.
        auto const actions = found->second;
        actions.refuse();
    }
}

void host_queue_rounds::arm(model::time_point due)
{
    if (m_due && *m_due <= due) {
        return;
    }
    m_loop.cancel(m_timer);
    m_due = due;
    auto const delay =
        std::chrono::ceil<model::milliseconds>(due - m_loop.now());
    m_timer = m_loop.after(std::max(delay, model::milliseconds{0}), [this] {
        m_due.reset();
        run_round();
    });
}

void host_queue_rounds::arm_next_round()
{
    if (auto const end = m_queue.next_end()) {
        arm(std::min(*end, m_loop.now() + routing::host_queue::round_interval));
    }
}

void host_queue_rounds::run_round()
{
    m_queue.run_round(
        [this](routing::waiting_request const& item, bool is_blocked) {
            auto const found = m_hooks.find(item.number);
            if (found != m_hooks.end()) {
                auto const actions = found->second;
                actions.attempt(is_blocked);
            }
        });
    arm_next_round();
}

} // namespace caperjunction::proxy
