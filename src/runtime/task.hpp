#ifndef CAPERJUNCTION_RUNTIME_TASK_HPP
#define CAPERJUNCTION_RUNTIME_TASK_HPP

#include "runtime/event_loop.hpp"
#include "runtime/mailbox.hpp"

#include <functional>
#include <thread>
#include <utility>

namespace caperjunction::runtime {

/// Thread with an event loop and a mailbox. Sockets and state of a task are
/// accessed only by its message handler and timers; other threads post
/// messages.
///
/// Thread safety: `post`, `post_or_wait` and `stop` may be called from any
/// thread, all other members only by the constructing thread before `start`.
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

    /// \pre `start` has not been called.
    void set_message_handler(handler handle)
    {
        m_handler = std::move(handle);
    }

    void start()
    {
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }

    /// Stops the loop and joins the thread.
    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Returns false and leaves `message` unchanged if the mailbox is full.
    [[nodiscard]] bool post(Message& message)
    {
        auto const result = m_mailbox.post(message);
        wake_if_needed(result);
        return result != mailbox<Message>::post_result::full;
    }

    /// \pre This task never waits for the calling task (deadlock).
    void post_or_wait(Message message)
    {
        wake_if_needed(m_mailbox.post_or_wait(message));
    }

    /// Handles all posted messages. Called by the loop, and by tests that run
    /// a task without its thread.
    void process_messages()
    {
        for (Message& message : m_mailbox.take_all()) {
            m_handler(message);
        }
    }

private:
    void wake_if_needed(typename mailbox<Message>::post_result result)
    {
        if (result == mailbox<Message>::post_result::needs_wakeup) {
            m_loop.wake();
        }
    }

    event_loop m_loop;
    mailbox<Message> m_mailbox;
    handler m_handler;
    std::thread m_thread;
};

} // namespace caperjunction::runtime

#endif
