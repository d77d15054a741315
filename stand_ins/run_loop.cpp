#include "stand_ins/run_loop.hpp"

#include <event2/event.h>

#include <chrono>

namespace caperjunction::stand_ins {
namespace {

constexpr std::chrono::seconds timeout{30};
constexpr model::milliseconds max_iteration_time{2};

} // namespace

bool run_until(runtime::event_loop& loop, std::function<bool()> const& done)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!done() && std::chrono::steady_clock::now() < deadline) {
        // The timer bounds each iteration; otherwise `done` is not checked
        // until the next socket event.
        loop.after(max_iteration_time, [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return done();
}

void run_for(runtime::event_loop& loop, model::milliseconds time)
{
    bool has_elapsed = false;
    loop.after(time, [&has_elapsed] {
        has_elapsed = true;
    });
    run_until(loop, [&has_elapsed] {
        return has_elapsed;
    });
}

} // namespace caperjunction::stand_ins
