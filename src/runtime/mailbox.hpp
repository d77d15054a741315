#ifndef CAPERJUNCTION_RUNTIME_MAILBOX_HPP
#define CAPERJUNCTION_RUNTIME_MAILBOX_HPP

#include "model/limits.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace caperjunction::runtime {

/// Bounded message queue of one task.
///
/// Without the bound, the queue of a task that falls behind grows until the
/// host runs out of memory. With it, `post` fails immediately and the sender
/// can refuse its caller.
///
/// Thread safety: `post` and `post_or_wait` may be called from any thread,
/// `take_all` only by the owner.
template <typename Message>
class mailbox
{
public:
    /// Result of posting a message.
    enum class post_result
    {
        /// Queued in an empty mailbox; the owner has to be woken.
        needs_wakeup,
        /// Queued; an earlier message has woken the owner already.
        queued,
        full,
    };

    explicit mailbox(std::size_t capacity = model::limits::mailbox_capacity)
        : m_capacity(capacity)
    {
    }

    /// Moves from `message` only if the mailbox is not full.
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

    /// Blocks while the mailbox is full.
    /// \pre The owner never waits for the calling task (deadlock).
    post_result post_or_wait(Message& message)
    {
        std::unique_lock lock(m_mutex);
        m_not_full.wait(lock, [this] {
            return m_messages.size() < m_capacity;
        });
        m_messages.push_back(std::move(message));
        return m_messages.size() == 1 ? post_result::needs_wakeup
                                      : post_result::queued;
    }

    /// Removes and returns all messages in the order of posting.
    std::vector<Message> take_all()
    {
        std::vector<Message> messages;
        {
            std::lock_guard const lock(m_mutex);
            messages.swap(m_messages);
        }
        m_not_full.notify_all();
        return messages;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_not_full;
    std::vector<Message> m_messages;
    std::size_t m_capacity;
};

} // namespace caperjunction::runtime

#endif
