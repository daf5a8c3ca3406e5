// When a process was told to stop.

#ifndef KUMQUATHAVEN_RUNTIME_STOPREQUEST_H
#define KUMQUATHAVEN_RUNTIME_STOPREQUEST_H

#include "kumquathaven/base/time.h"

#include <atomic>
#include <optional>

namespace kumquathaven::runtime {

/// Written by a signal handler and read by any thread. The grace period runs from the first
/// request.
class StopRequest
{
public:
    /// Records that a stop was requested at \p now. Later requests change nothing. May be called in
    /// a signal handler.
    void request(TimePoint now) noexcept
    {
        Duration::rep none = 0;
        m_at.compare_exchange_strong(none, now.time_since_epoch().count());
    }

    /// Returns when a stop was first requested, or nothing.
    std::optional<TimePoint> requestedAt() const noexcept
    {
        const Duration::rep at = m_at.load();
        if (at == 0)
            return std::nullopt;
        return TimePoint(Duration(at));
    }

private:
    static_assert(std::atomic<Duration::rep>::is_always_lock_free,
                  "a signal handler must not wait for a lock");

    /// Zero: not requested.
    std::atomic<Duration::rep> m_at{0};
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_STOPREQUEST_H
