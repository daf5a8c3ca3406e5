// Linearizability checker for recorded histories of a register. A history is linearizable if the
// operations can have taken effect one after the other, each between its call and its return, with
// the results that the clients observed.

#ifndef KUMQUATHAVEN_UNITTESTS_CONSENSUS_LINEARIZABILITY_H
#define KUMQUATHAVEN_UNITTESTS_CONSENSUS_LINEARIZABILITY_H

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::consensus {

enum class OperationKind { Read, Write, ConditionalWrite };

/// One operation on a register. Calls and returns are numbered in the order in which they happened.
struct Operation
{
    OperationKind kind = OperationKind::Read;
    /// ConditionalWrite: the value that the register must hold for the write to take effect.
    std::int64_t expected = 0;
    /// Write and ConditionalWrite: the new value. Read: the value that was read.
    std::int64_t value = 0;
    std::uint64_t calledAt = 0;
    /// Empty if the outcome is unknown: the operation may take effect at any time after the call,
    /// or never.
    std::optional<std::uint64_t> returnedAt;
    /// ConditionalWrite that returned: whether the register held the expected value.
    bool succeeded = true;
};

/// Returns whether the history of one register with the initial value \p initial is linearizable.
bool isLinearizable(const std::vector<Operation> &history, std::int64_t initial);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_UNITTESTS_CONSENSUS_LINEARIZABILITY_H
