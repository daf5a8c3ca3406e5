// A bounded queue between threads that refuses new elements when it is full.

#ifndef KUMQUATHAVEN_BASE_RING_H
#define KUMQUATHAVEN_BASE_RING_H

#include "kumquathaven/base/time.h"

#include <cassert>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace kumquathaven {

/// A first-in, first-out queue of fixed capacity. Any number of threads may push and pop.
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0 && "the capacity of a ring must not be zero");
    }

    /// Adds an element. Returns false, without a change of the ring, if it is full or closed.
    bool tryPush(T value)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || m_elements.size() == m_capacity)
                return false;
            m_elements.push_back(std::move(value));
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Removes and returns the oldest element, waiting up to \p timeout for one. Returns nothing
    /// after the timeout, or at once if the ring is closed and empty.
    std::optional<T> pop(Duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [this] {
            return !m_elements.empty() || m_closed;
        });
        if (m_elements.empty())
            return std::nullopt;
        std::optional<T> value(std::move(m_elements.front()));
        m_elements.pop_front();
        return value;
    }

    /// Refuses further elements and wakes all waiting threads. The elements in the ring can still
    /// be popped.
    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_notEmpty.notify_all();
    }

    /// Returns whether close() was called.
    bool isClosed() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

    /// Returns the number of elements in the ring.
    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_elements.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    const std::size_t m_capacity;
    /// A deque allocates memory only for the elements in the ring, not for the full capacity.
    std::deque<T> m_elements;
    bool m_closed = false;
};

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_RING_H
