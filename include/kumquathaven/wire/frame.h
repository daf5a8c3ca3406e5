// The messages that two processes of a deployment exchange over a link.

#ifndef KUMQUATHAVEN_WIRE_FRAME_H
#define KUMQUATHAVEN_WIRE_FRAME_H

#include "kumquathaven/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven::wire {

/// The protocols that share a link.
enum class Channel { Consensus, Feed, Ledger, Slices, Answers, Quarantine };

/// Number of channels.
constexpr std::size_t channelCount = 6;

/// Returns the name that a channel has in metrics.
std::string_view channelName(Channel channel);

/// One message. The library that owns the channel defines the kinds and the contents of the body,
/// which is CBOR.
struct Frame
{
    Channel channel = Channel::Consensus;
    std::string kind;
    std::string body;
};

/// Encodes a frame as bytes.
std::string encodeFrame(const Frame &frame);

/// Decodes a frame. Fails with InvalidRequest; the error names \p peer.
Result<Frame> decodeFrame(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_FRAME_H
