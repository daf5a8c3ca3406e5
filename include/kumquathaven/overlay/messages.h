// The messages that instances exchange along the tree, as CBOR.

#ifndef KUMQUATHAVEN_OVERLAY_MESSAGES_H
#define KUMQUATHAVEN_OVERLAY_MESSAGES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/overlay/aggregate.h"
#include "kumquathaven/overlay/tree.h"

#include <string>
#include <string_view>

namespace kumquathaven::overlay {

/// Encode a message and decode it. The error of a decoder is InvalidRequest and names \p peer.
std::string encodeUpdate(const Update &update);
Result<Update> decodeUpdate(std::string_view bytes, const std::string &peer);

/// The first message of an instance to a candidate for its parent says what it is. The name is the
/// peer's, which the link has authenticated.
std::string encodeJoin(const TreeNode &self);
Result<TreeNode> decodeJoin(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::overlay

#endif // KUMQUATHAVEN_OVERLAY_MESSAGES_H
