// A queue between threads that refuses new elements when it is full: when it holds too many
// elements, or too many bytes if it was given a bound for these.

#ifndef KUMQUATHAVEN_BASE_RING_H
#define KUMQUATHAVEN_BASE_RING_H

#include "kumquathaven/base/time.h"

#include <cassert>
#include <condition_variable>
#include <deque>
#include <functional>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>

namespace kumquathaven {

/// A first-in, first-out queue of fixed capacity. Any number of threads may push and pop.
template <typename T>
class BoundedRing
{
public:
    /// Returns the bytes that an element holds. It must return the same for an element as long as
    /// the element is in the ring.
    using BytesOf = std::function<std::size_t(const T &)>;

    /// Makes a ring of elements whose size does not depend on a peer or an operator.
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0 && "the capacity of a ring must not be zero");
    }

    /// Makes a ring that is also full while its elements hold \p maxBytes or more. An element is
    /// accepted whole, so the elements together hold less than that plus the size of one of them.
    BoundedRing(std::size_t capacity, std::size_t maxBytes, BytesOf bytesOf)
        : m_capacity(capacity)
        , m_maxBytes(maxBytes)
        , m_bytesOf(std::move(bytesOf))
    {
        assert(capacity > 0 && maxBytes > 0 && "the capacity of a ring must not be zero");
    }

    /// Adds an element. Returns false, without a change of the ring, if it is full or closed.
    bool tryPush(T value)
    {
        const std::size_t bytes = bytesOf(value);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || m_elements.size() == m_capacity || m_bytes >= m_maxBytes)
                return false;
            m_elements.push_back(std::move(value));
            m_bytes += bytes;
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
        m_bytes -= bytesOf(m_elements.front());
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

    /// Returns the bytes that the elements in the ring hold; zero for a ring without a bound of
    /// bytes.
    std::size_t bytes() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_bytes;
    }

private:
    std::size_t bytesOf(const T &value) const { return m_bytesOf ? m_bytesOf(value) : 0; }

    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    const std::size_t m_capacity;
    const std::size_t m_maxBytes = std::numeric_limits<std::size_t>::max();
    const BytesOf m_bytesOf;
    std::size_t m_bytes = 0;
    /// A deque allocates memory only for the elements in the ring, not for the full capacity.
    std::deque<T> m_elements;
    bool m_closed = false;
};

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_RING_H
