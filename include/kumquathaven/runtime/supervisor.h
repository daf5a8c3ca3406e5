// Runs duties, one thread each, restarts those that fail, and gives up after a restart limit.

#ifndef KUMQUATHAVEN_RUNTIME_SUPERVISOR_H
#define KUMQUATHAVEN_RUNTIME_SUPERVISOR_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/runtime/stopsignal.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquathaven::runtime {

/// How often a duty may fail before its supervisor fails in turn.
struct RestartPolicy
{
    std::uint32_t maxRestarts = 5;
    Duration window = std::chrono::seconds(30);
    Duration firstDelay = std::chrono::milliseconds(50);
    Duration maxDelay = std::chrono::seconds(2);
};

/// What to do after a duty failed.
struct RestartDecision
{
    bool restart = false;
    /// How long to wait before the restart.
    Duration delay{0};
};

/// Decides after a failure at \p now. \p failures holds the times of earlier failures, oldest
/// first; the function adds \p now and forgets those that are out of the window.
RestartDecision decideRestart(const RestartPolicy &policy, std::deque<TimePoint> &failures,
                              TimePoint now);

/// A function that does its work until the signal is set. It fails by throwing; returning before
/// the signal is set ends the duty without a restart.
using DutyFunction = std::function<void(const StopSignal &)>;

/// A node of the supervisor tree. run() has the form of a duty, so that a supervisor can be a duty
/// of another one.
class Supervisor
{
public:
    explicit Supervisor(std::string name, RestartPolicy policy = {});
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// Adds a duty. Allowed only before run().
    void add(std::string name, DutyFunction run);

    /// Runs every duty until \p stop is set, then ends them all. Throws std::runtime_error when a
    /// duty failed more often than the policy allows, after ending the others.
    void run(const StopSignal &stop);

    /// Restarts of all duties so far.
    std::uint64_t restarts() const;

private:
    struct Duty;
    struct Shared;
    void superviseDuty(Duty &duty);

    std::string m_name;
    RestartPolicy m_policy;
    std::vector<std::unique_ptr<Duty>> m_duties;
    std::unique_ptr<Shared> m_shared;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_SUPERVISOR_H
