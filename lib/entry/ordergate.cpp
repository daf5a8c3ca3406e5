#include "ordergate.h"

namespace kumquathaven::entry {

namespace {

// How often a waiting thread looks whether its caller has gone and whether a deadline has passed.
constexpr Duration waitCheckInterval = std::chrono::milliseconds(50);

} // namespace

OrderGate::OrderGate(const admission::Policy &policy)
    : m_state(policy)
{ }

void OrderGate::resize(admission::Capacity capacity)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto &present = m_state.capacity;
    if (capacity.slots != present.slots || capacity.tokens != present.tokens)
        deliver(admission::resize(m_state, capacity, monotonicNow()));
}

OrderGate::Entrance OrderGate::enter(admission::Request request,
                                     const std::function<bool()> &isGone)
{
    Waiter waiter;
    std::unique_lock<std::mutex> lock(m_mutex);
    request.id = m_nextId++;
    m_waiters[request.id] = &waiter;
    deliver(admission::arrive(m_state, request, monotonicNow()));
    while (!waiter.decision) {
        waiter.decided.wait_for(lock, waitCheckInterval);
        if (waiter.decision)
            break;
        lock.unlock();
        const bool gone = isGone();
        lock.lock();
        if (waiter.decision)
            break;
        if (gone) {
            m_waiters.erase(request.id);
            deliver(admission::cancel(m_state, request.id, 0, monotonicNow()));
            return {0,
                    Error{ErrorCode::Cancelled,
                          "admission.wait",
                          {},
                          "the caller has gone",
                          Outcome::NotRun,
                          {}}};
        }
        deliver(admission::advance(m_state, monotonicNow()));
    }
    m_waiters.erase(request.id);
    return {request.id, waiter.decision->error};
}

void OrderGate::leave(admission::RequestId id, std::uint64_t usedTokens, bool isWhole)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = monotonicNow();
    deliver(isWhole ? admission::finish(m_state, id, usedTokens, now)
                    : admission::cancel(m_state, id, usedTokens, now));
}

Duration OrderGate::comeBackAfter(const admission::Request &request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return admission::giveUp(m_state, request, monotonicNow());
}

std::pair<std::size_t, std::size_t> OrderGate::load() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_state.running.size(), m_state.waiting.total.requests};
}

void OrderGate::deliver(admission::Decisions decisions)
{
    for (admission::Decision &it : decisions) {
        const auto waiter = m_waiters.find(it.id);
        if (it.action == admission::Action::Wait || waiter == m_waiters.end())
            continue;
        waiter->second->decision = std::move(it);
        waiter->second->decided.notify_one();
    }
}

OrderGate &OrderGates::gate(const std::string &route)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &gate = m_gates[route];
    if (!gate)
        gate = std::make_unique<OrderGate>();
    return *gate;
}

std::pair<std::size_t, std::size_t> OrderGates::load() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::pair<std::size_t, std::size_t> sum{0, 0};
    for (const auto &[route, gate] : m_gates) {
        const auto [running, waiting] = gate->load();
        sum.first += running;
        sum.second += waiting;
    }
    return sum;
}

} // namespace kumquathaven::entry
