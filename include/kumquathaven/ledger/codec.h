// Encodes the ledger's commands, answers and snapshots as CBOR, and decodes them.

#ifndef KUMQUATHAVEN_LEDGER_CODEC_H
#define KUMQUATHAVEN_LEDGER_CODEC_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/ledger/ledger.h"

#include <string>
#include <string_view>

namespace kumquathaven::ledger {

/// Maximum size in bytes of a text field, such as a customer name, idempotency key, instance name
/// or fingerprint.
constexpr std::size_t maxNameBytes = 512;

/// Encodes a command as CBOR.
std::string encodeCommand(const Command &command);

/// Decodes a command. The error has the code InvalidRequest and names \p peer.
Result<Command> decodeCommand(std::string_view bytes, const std::string &peer);

/// Encodes an answer as CBOR.
std::string encodeAnswer(const Answer &answer);

/// Decodes an answer. The error has the code InvalidRequest and names \p peer.
Result<Answer> decodeAnswer(std::string_view bytes, const std::string &peer);

/// Encodes the state as a snapshot. The bounds are not part of it.
std::string encodeState(const State &state);

/// Decodes a snapshot. The error has the code Corrupt and names \p peer.
Result<State> decodeState(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_CODEC_H
