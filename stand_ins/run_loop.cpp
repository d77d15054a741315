#include "stand_ins/run_loop.hpp"

#include <event2/event.h>

#include <chrono>

namespace caperjunction::stand_ins {
namespace {

constexpr std::chrono::seconds patience{30};
constexpr model::milliseconds longest_turn{2};

} // namespace

bool run_until(runtime::event_loop& loop, std::function<bool()> const& done)
{
    auto const limit = std::chrono::steady_clock::now() + patience;
    while (!done() && std::chrono::steady_clock::now() < limit) {
        // A timer ends each turn, so that none waits long for a socket.
        loop.after(longest_turn, [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return done();
}

void run_for(runtime::event_loop& loop, model::milliseconds time)
{
    bool over = false;
    loop.after(time, [&over] {
        over = true;
    });
    run_until(loop, [&over] {
        return over;
    });
}

} // namespace caperjunction::stand_ins
