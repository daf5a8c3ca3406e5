// Fuzzes the decoders of the ledger's commands, answers, snapshots and query results.

#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/ledger/machine.h"
#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> reencodeCommand(std::string_view bytes)
{
    BOOST_LEAF_AUTO(command, ledger::decodeCommand(bytes, "fuzz"));
    return ledger::encodeCommand(command);
}

Result<std::string> reencodeAnswer(std::string_view bytes)
{
    BOOST_LEAF_AUTO(answer, ledger::decodeAnswer(bytes, "fuzz"));
    return ledger::encodeAnswer(answer);
}

/// Aborts unless the totals and indices that decoding derives are consistent with the records.
void checkDerivedTotals(const ledger::State &state)
{
    std::size_t bytes = 0;
    std::size_t finished = 0;
    for (const auto &it : state.records) {
        bytes += it.second.answer.body.size();
        finished += it.second.state == ledger::RecordState::InProgress ? 0 : 1;
    }
    std::size_t counted = 0;
    for (const auto &it : state.recordsPerCustomer)
        counted += it.second;
    std::size_t running = 0;
    for (const auto &it : state.runners)
        running += it.second.running.size();
    if (bytes != state.bytes || counted != state.records.size() || finished != state.expiry.size()
        || running + finished > state.records.size())
        std::abort();
}

Result<std::string> reencodeState(std::string_view bytes)
{
    BOOST_LEAF_AUTO(state, ledger::decodeState(bytes, "fuzz"));
    checkDerivedTotals(state);
    return ledger::encodeState(state);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, reencodeCommand);
    fuzz::checkStable(bytes, reencodeAnswer);
    fuzz::checkStable(bytes, reencodeState);
    fuzz::valueOrNothing([&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ledger::decodeRunners(bytes, "fuzz"));
        return std::string();
    });
    return 0;
}
