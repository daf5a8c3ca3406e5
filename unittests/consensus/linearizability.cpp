#include "linearizability.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace kumquathaven::consensus {

namespace {

/// Depth-first search over the orders of operations that their call and return times allow. Each
/// pair of a set of placed operations and the resulting register value is visited once.
class Search
{
public:
    Search(const std::vector<Operation> &history, std::int64_t initial)
        : m_history(history)
        , m_placed(history.size(), false)
        , m_value(initial)
    {
        for (const Operation &it : m_history)
            m_remaining += it.returnedAt ? 1 : 0;
    }

    bool run()
    {
        if (m_remaining == 0)
            return true;
        if (!m_visited.insert({m_placed, m_value}).second)
            return false;
        const std::uint64_t limit = firstReturn();
        for (std::size_t n = 0; n < m_history.size(); ++n) {
            if (!m_placed[n] && m_history[n].calledAt < limit && tryNext(n))
                return true;
        }
        return false;
    }

private:
    /// Returns the earliest return among the operations not yet placed. The next operation in the
    /// order must have been called before it.
    std::uint64_t firstReturn() const
    {
        std::uint64_t first = std::numeric_limits<std::uint64_t>::max();
        for (std::size_t n = 0; n < m_history.size(); ++n) {
            if (!m_placed[n] && m_history[n].returnedAt)
                first = std::min(first, *m_history[n].returnedAt);
        }
        return first;
    }

    bool tryNext(std::size_t n)
    {
        const Operation &operation = m_history[n];
        const std::int64_t before = m_value;
        const bool fits =
            operation.kind == OperationKind::Write || m_value == expectedBy(operation);
        const bool hasEffect = operation.kind != OperationKind::Read && fits;
        // Placing an operation with an unknown outcome and no effect yields no new state.
        if (!operation.returnedAt && !hasEffect)
            return false;
        if (operation.returnedAt && operation.succeeded != fits)
            return false;
        m_placed[n] = true;
        m_value = hasEffect ? operation.value : m_value;
        m_remaining -= operation.returnedAt ? 1 : 0;
        if (run())
            return true;
        m_remaining += operation.returnedAt ? 1 : 0;
        m_value = before;
        m_placed[n] = false;
        return false;
    }

    static std::int64_t expectedBy(const Operation &operation)
    {
        return operation.kind == OperationKind::Read ? operation.value : operation.expected;
    }

    const std::vector<Operation> &m_history;
    std::vector<bool> m_placed;
    std::int64_t m_value;
    std::size_t m_remaining = 0;
    std::set<std::pair<std::vector<bool>, std::int64_t>> m_visited;
};

} // namespace

bool isLinearizable(const std::vector<Operation> &history, std::int64_t initial)
{
    return Search(history, initial).run();
}

} // namespace kumquathaven::consensus
