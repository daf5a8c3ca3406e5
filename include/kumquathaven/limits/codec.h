// CBOR encoding of the limits' messages. One body holds several messages.

#ifndef KUMQUATHAVEN_LIMITS_CODEC_H
#define KUMQUATHAVEN_LIMITS_CODEC_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/limits/messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::limits {

/// The largest number of messages in one body.
constexpr std::size_t maxMessagesInBody = 4096;

/// Encodes messages as CBOR, in their order.
std::string encodeMessages(const std::vector<Message> &messages);

/// Decodes the messages of one body. If any of them is malformed the error is InvalidRequest and
/// names \p peer.
Result<std::vector<Message>> decodeMessages(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_CODEC_H
