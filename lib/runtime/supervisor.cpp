#include "kumquathaven/runtime/supervisor.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <stdexcept>
#include <thread>

namespace kumquathaven::runtime {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(250);

} // namespace

struct Supervisor::Duty
{
    std::string name;
    DutyFunction run;
    std::deque<TimePoint> failures;
    std::thread thread;
};

struct Supervisor::Shared
{
    StopSignal stop;
    std::atomic<bool> gaveUp{false};
    std::atomic<std::uint64_t> restarts{0};
};

RestartDecision decideRestart(const RestartPolicy &policy, std::deque<TimePoint> &failures,
                              TimePoint now)
{
    while (!failures.empty() && now - failures.front() > policy.window)
        failures.pop_front();
    failures.push_back(now);
    if (failures.size() > policy.maxRestarts)
        return {};
    Duration delay = policy.firstDelay;
    for (std::size_t n = 1; n < failures.size() && delay < policy.maxDelay; ++n)
        delay *= 2;
    return {true, std::min(delay, policy.maxDelay)};
}

Supervisor::Supervisor(std::string name, RestartPolicy policy)
    : m_name(std::move(name))
    , m_policy(policy)
    , m_shared(std::make_unique<Shared>())
{ }

Supervisor::~Supervisor() = default;

void Supervisor::add(std::string name, DutyFunction run)
{
    auto duty = std::make_unique<Duty>();
    duty->name = std::move(name);
    duty->run = std::move(run);
    m_duties.push_back(std::move(duty));
}

std::uint64_t Supervisor::restarts() const
{
    return m_shared->restarts;
}

void Supervisor::superviseDuty(Duty &duty)
{
    using telemetry::LogLevel;
    while (!m_shared->stop.requested()) {
        std::string reason = "unknown exception";
        try {
            duty.run(m_shared->stop);
            return;
        } catch (const std::exception &e) {
            reason = e.what();
        } catch (...) {
            reason = "exception of an unknown type";
        }
        const auto decision = decideRestart(m_policy, duty.failures, monotonicNow());
        const telemetry::LogFields fields{{"supervisor", m_name}, {"reason", reason}};
        if (!decision.restart) {
            telemetry::logLine(LogLevel::Error, duty.name, "duty failed too often", fields);
            m_shared->gaveUp = true;
            return;
        }
        telemetry::logLine(LogLevel::Warn, duty.name, "duty failed and is restarted", fields);
        ++m_shared->restarts;
        m_shared->stop.waitFor(decision.delay);
    }
}

void Supervisor::run(const StopSignal &stop)
{
    // A parent that restarts this supervisor starts it with a clean state.
    m_shared = std::make_unique<Shared>();
    for (auto &it : m_duties) {
        it->failures.clear();
        it->thread = std::thread([this, &duty = *it] {
            superviseDuty(duty);
        });
    }
    while (!m_shared->gaveUp && !stop.waitFor(pollInterval)) { }
    m_shared->stop.request();
    for (auto &it : m_duties)
        it->thread.join();
    if (m_shared->gaveUp)
        throw std::runtime_error("supervisor " + m_name + " gave up");
}

} // namespace kumquathaven::runtime
