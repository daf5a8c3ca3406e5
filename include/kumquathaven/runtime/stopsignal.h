// How a duty learns that it must end.

#ifndef KUMQUATHAVEN_RUNTIME_STOPSIGNAL_H
#define KUMQUATHAVEN_RUNTIME_STOPSIGNAL_H

#include "kumquathaven/base/time.h"

#include <condition_variable>
#include <mutex>

namespace kumquathaven::runtime {

/// Set once, seen by any number of threads.
class StopSignal
{
public:
    /// Sets the signal and wakes every thread that waits for it.
    void request()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_requested = true;
        }
        m_changed.notify_all();
    }

    /// Whether the signal is set.
    bool requested() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_requested;
    }

    /// Sleeps for \p d or until the signal is set. Returns whether it is set.
    bool waitFor(Duration d) const
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, d, [this] {
            return m_requested;
        });
    }

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    bool m_requested = false;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_STOPSIGNAL_H
