#include "queue.h"

#include <algorithm>
#include <deque>
#include <set>

namespace storm {

namespace {

using kumquathaven::Error;
using kumquathaven::ErrorCode;
using kumquathaven::Outcome;
using kumquathaven::admission::Action;
using kumquathaven::admission::AttemptKind;
using kumquathaven::admission::Decision;
using kumquathaven::admission::State;

class Admission : public Queue
{
public:
    Admission(const Policy &policy, bool knowsRetries)
        : m_state(policy)
        , m_knowsRetries(knowsRetries)
    { }

    Decisions arrive(const Request &request, TimePoint now) override
    {
        Request seen = request;
        if (!m_knowsRetries)
            seen.attempt = AttemptKind::First;
        return kumquathaven::admission::arrive(m_state, seen, now);
    }
    Decisions finish(RequestId id, std::uint64_t tokens, TimePoint now) override
    {
        return kumquathaven::admission::finish(m_state, id, tokens, now);
    }
    Decisions cancel(RequestId id, std::uint64_t tokens, TimePoint now) override
    {
        return kumquathaven::admission::cancel(m_state, id, tokens, now);
    }
    Decisions resize(Capacity capacity, TimePoint now) override
    {
        return kumquathaven::admission::resize(m_state, capacity, now);
    }
    Decisions advance(TimePoint now) override
    {
        return kumquathaven::admission::advance(m_state, now);
    }

private:
    State m_state;
    bool m_knowsRetries;
};

class FirstCome : public Queue
{
public:
    explicit FirstCome(std::size_t maxWaiting)
        : m_maxWaiting(maxWaiting)
    { }

    Decisions arrive(const Request &request, TimePoint now) override
    {
        if (m_waiting.size() >= m_maxWaiting)
            return {refusal(request.id)};
        m_waiting.push_back(request.id);
        Decisions decisions = advance(now);
        const bool isAdmitted = !decisions.empty();
        if (!isAdmitted)
            decisions.push_back({request.id, Action::Wait, {}, {}});
        return decisions;
    }
    Decisions finish(RequestId id, std::uint64_t /*tokens*/, TimePoint now) override
    {
        m_running.erase(id);
        return advance(now);
    }
    Decisions cancel(RequestId id, std::uint64_t /*tokens*/, TimePoint now) override
    {
        m_running.erase(id);
        m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), id), m_waiting.end());
        return advance(now);
    }
    Decisions resize(Capacity capacity, TimePoint now) override
    {
        m_capacity = capacity;
        return advance(now);
    }
    Decisions advance(TimePoint /*now*/) override
    {
        Decisions decisions;
        while (!m_waiting.empty() && m_running.size() < m_capacity.slots) {
            m_running.insert(m_waiting.front());
            decisions.push_back({m_waiting.front(), Action::Admit, {}, {}});
            m_waiting.pop_front();
        }
        return decisions;
    }

private:
    static Decision refusal(RequestId id)
    {
        Decision decision;
        decision.id = id;
        decision.action = Action::Refuse;
        decision.error = Error{ErrorCode::Overloaded, "queue",         {},
                               "the queue is full",   Outcome::NotRun, std::chrono::seconds(1)};
        return decision;
    }

    std::size_t m_maxWaiting;
    std::deque<RequestId> m_waiting;
    std::set<RequestId> m_running;
    Capacity m_capacity;
};

} // namespace

std::unique_ptr<Queue> makeAdmission(const Policy &policy, bool knowsRetries)
{
    return std::make_unique<Admission>(policy, knowsRetries);
}

std::unique_ptr<Queue> makeFirstCome(std::size_t maxWaiting)
{
    return std::make_unique<FirstCome>(maxWaiting);
}

} // namespace storm
