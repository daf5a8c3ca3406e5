// Holds request threads until admission starts or refuses them.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ORDERGATE_H
#define KUMQUATHAVEN_LIB_ENTRY_ORDERGATE_H

#include "kumquathaven/admission/controller.h"
#include "kumquathaven/telemetry/metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace kumquathaven::entry {

/// Admission before the upstreams of one route, shared by all request threads.
class OrderGate
{
public:
    explicit OrderGate(const admission::Policy &policy = {});

    /// Sets what the upstreams may run at a time for this instance.
    void resize(admission::Capacity capacity);

    /// Waits until the request starts. Returns its number, which leave() takes, or the refusal.
    /// \p isGone says whether the caller has gone, which ends the wait with Cancelled.
    struct Entrance
    {
        admission::RequestId id = 0;
        std::optional<Error> error;
    };
    Entrance enter(admission::Request request, const std::function<bool()> &isGone);

    /// Gives the place back. \p usedTokens is what the request cost in fact, and \p isWhole whether
    /// its time says something about the speed of the upstreams.
    void leave(admission::RequestId id, std::uint64_t usedTokens, bool isWhole);

    /// Returns when the caller of a request that started and got no answer should come back.
    Duration comeBackAfter(const admission::Request &request);

    /// Returns the running and the waiting requests.
    std::pair<std::size_t, std::size_t> load() const;

private:
    struct Waiter
    {
        std::condition_variable decided;
        std::optional<admission::Decision> decision;
    };
    void deliver(admission::Decisions decisions);

    mutable std::mutex m_mutex;
    admission::State m_state;
    admission::RequestId m_nextId = 1;
    std::map<admission::RequestId, Waiter *> m_waiters;
};

/// The gates of all routes by name.
class OrderGates
{
public:
    /// Returns the gate of a route, and makes it on first use.
    OrderGate &gate(const std::string &route);

    /// Returns running and waiting requests of all routes.
    std::pair<std::size_t, std::size_t> load() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<OrderGate>> m_gates;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ORDERGATE_H
