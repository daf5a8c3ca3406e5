// Client operations of a simulated cluster: reads and writes of registers, and the check of their
// histories.

#include "cluster.h"

#include <sstream>

namespace kumquathaven::consensus {

bool Machine::apply(const std::string &data)
{
    std::istringstream in(data);
    std::size_t reg = 0;
    bool isConditional = false;
    std::int64_t expected = 0;
    std::int64_t value = 0;
    in >> reg >> isConditional >> expected >> value;
    if (isConditional && registers[reg] != expected)
        return false;
    registers[reg] = value;
    return true;
}

std::string Machine::save() const
{
    std::string out;
    for (const std::int64_t it : registers)
        out += std::to_string(it) + " ";
    return out;
}

void Machine::load(const std::string &state)
{
    std::istringstream in(state);
    for (std::int64_t &it : registers)
        in >> it;
}

void Cluster::callOperation(Node &node)
{
    const std::size_t reg = m_random.below(registerCount);
    if (chance(500))
        callRead(node, reg);
    else
        callWrite(node, reg);
}

void Cluster::callRead(Node &node, std::size_t reg)
{
    const std::size_t number = m_calls.size();
    m_calls.push_back({{}, reg, false});
    m_calls[number].operation.calledAt = ++m_event;
    if (chance(500) && node.group->mayRead(timeAt(node))) {
        ++m_coverage.leaseReads;
        m_calls[number].operation.value = node.machine.registers[reg];
        finish(number);
        return;
    }
    m_calls[number].isRefused = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(node.group->readIndex(number, timeAt(node)));
            return false;
        },
        [](const Error &) {
            return true;
        });
}

void Cluster::callWrite(Node &node, std::size_t reg)
{
    const std::size_t number = m_calls.size();
    Call call;
    call.reg = reg;
    call.operation.calledAt = ++m_event;
    call.operation.kind = chance(700) ? OperationKind::ConditionalWrite : OperationKind::Write;
    call.operation.expected = node.machine.registers[reg];
    call.operation.value = static_cast<std::int64_t>(number + 1);
    const bool isConditional = call.operation.kind == OperationKind::ConditionalWrite;
    std::ostringstream data;
    data << reg << ' ' << isConditional << ' ' << call.operation.expected << ' '
         << call.operation.value;
    call.isRefused = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(entry, node.group->propose(data.str(), timeAt(node)));
            node.waiting[entry.index] = {entry.term, number};
            return false;
        },
        [](const Error &) {
            return true;
        });
    m_calls.push_back(call);
}

void Cluster::finish(std::size_t operation)
{
    m_calls[operation].operation.returnedAt = ++m_event;
}

void Cluster::checkHistories()
{
    for (std::size_t reg = 0; reg < registerCount; ++reg) {
        std::vector<Operation> history;
        for (const Call &it : m_calls) {
            const bool isPendingRead =
                it.operation.kind == OperationKind::Read && !it.operation.returnedAt;
            if (it.reg != reg || it.isRefused || isPendingRead)
                continue;
            history.push_back(it.operation);
            m_coverage.unknownWrites += it.operation.returnedAt ? 0 : 1;
        }
        if (!isLinearizable(history, 0))
            recordViolation("the history of a register is not linearizable");
    }
}

} // namespace kumquathaven::consensus
