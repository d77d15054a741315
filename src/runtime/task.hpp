#ifndef CAPERJUNCTION_RUNTIME_TASK_HPP
#define CAPERJUNCTION_RUNTIME_TASK_HPP

#include "runtime/event_loop.hpp"
#include "runtime/mailbox.hpp"

#include <functional>
#include <thread>
#include <utility>

namespace caperjunction::runtime {

/// A thread with an event loop and a mailbox. What it owns (sockets, state)
/// is touched by its handler and its timers alone; others post messages.
///
/// Thread safety: `post`, `post_or_wait` and `stop` from any thread; the
/// rest by the thread that made it, before `start`.
template <typename Message>
class task
{
public:
    using handler = std::function<void(Message&)>;

    explicit task(clock clock = {})
        : m_loop(std::move(clock))
    {
        m_loop.set_wake_handler([this] {
            process_messages();
        });
    }

    ~task()
    {
        stop();
    }

    task(task const&) = delete;
    task& operator=(task const&) = delete;

    event_loop& loop()
    {
        return m_loop;
    }

    /// \pre Set before `start`.
    void set_message_handler(handler handle)
    {
        m_handle = std::move(handle);
    }

    void start()
    {
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }

    /// Ends the loop and waits for the thread.
    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// False, with `message` untouched, if the mailbox is full.
    [[nodiscard]] bool post(Message& message)
    {
        auto const result = m_mailbox.post(message);
        wake_after(result);
        return result != mailbox<Message>::post_result::full;
    }

    /// \pre This task never waits for the calling one.
    void post_or_wait(Message message)
    {
        wake_after(m_mailbox.post_or_wait(message));
    }

    /// Handles what has been posted; called by the loop, and by tests that
    /// run a task without its thread.
    void process_messages()
    {
        for (Message& message : m_mailbox.take_all()) {
            m_handle(message);
        }
    }

private:
    void wake_after(typename mailbox<Message>::post_result result)
    {
        if (result == mailbox<Message>::post_result::needs_wakeup) {
            m_loop.wake();
        }
    }

    event_loop m_loop;
    mailbox<Message> m_mailbox;
    handler m_handle;
    std::thread m_thread;
};

} // namespace caperjunction::runtime

#endif
