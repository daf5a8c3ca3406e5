// Encodes and decodes the commands of entry instances to the ledger, and the ledger's answers, as
// frames of the ledger channel.

#ifndef KUMQUATHAVEN_FEED_COMMANDFRAME_H
#define KUMQUATHAVEN_FEED_COMMANDFRAME_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/wire/frame.h"

#include <cstdint>
#include <string>

namespace kumquathaven::feed {

/// A command or the answer to it. The bytes are in the encoding of the ledger's state machine.
struct CommandFrame
{
    /// Chosen by the sender of the command; the answer carries the same number.
    std::uint64_t number = 0;
    std::string bytes;
};

/// Returns the frame that carries a command or an answer.
wire::Frame toFrame(const CommandFrame &command);

/// Decodes a frame. Fails with InvalidRequest, with \p peer in the error, if the frame is
/// malformed.
Result<CommandFrame> commandFrame(const wire::Frame &frame, const std::string &peer);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_COMMANDFRAME_H
