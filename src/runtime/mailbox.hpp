#ifndef CAPERJUNCTION_RUNTIME_MAILBOX_HPP
#define CAPERJUNCTION_RUNTIME_MAILBOX_HPP

#include "model/limits.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace caperjunction::runtime {

/// Bounded queue of messages to one task.
///
/// Without the bound, a task that falls behind lets memory grow until the
/// host dies; with it the sender learns at once and can refuse its caller.
///
/// Thread safety: any thread may post; only the owner takes.
template <typename Message>
class mailbox
{
public:
    /// What became of a message.
    enum class post_result
    {
        /// Taken, and the owner has to be woken.
        needs_wakeup,
        /// Taken; the owner has been woken already.
        queued,
        full,
    };

    explicit mailbox(std::size_t capacity = model::limits::mailbox_capacity)
        : m_capacity(capacity)
    {
    }

    /// Moves from `message` only if there is room.
    post_result post(Message& message)
    {
        std::lock_guard const lock(m_mutex);
        if (m_messages.size() >= m_capacity) {
            return post_result::full;
        }
        m_messages.push_back(std::move(message));
        return m_messages.size() == 1 ? post_result::needs_wakeup
                                      : post_result::queued;
    }

    /// Waits for room. \pre The owner never waits for the calling task.
    post_result post_or_wait(Message& message)
    {
        std::unique_lock lock(m_mutex);
        m_room.wait(lock, [this] {
            return m_messages.size() < m_capacity;
        });
        m_messages.push_back(std::move(message));
        return m_messages.size() == 1 ? post_result::needs_wakeup
                                      : post_result::queued;
    }

    /// Everything posted so far, in order.
    std::vector<Message> take_all()
    {
        std::vector<Message> taken;
        {
            std::lock_guard const lock(m_mutex);
            taken.swap(m_messages);
        }
        m_room.notify_all();
        return taken;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_room;
    std::vector<Message> m_messages;
    std::size_t m_capacity;
};

} // namespace caperjunction::runtime

#endif
