// Which engine gets a request: by the versions of its weights, by the places of its shared prompt,
// and by the expected wait.
//
// Answers the loads of hot shared prompts at many instances, and of new weights, after which no
// engine holds any prompt.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H
#define KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H

#include "servers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Where a prompt is placed, so that instances choose alike without talking.
struct Placement
{
    /// Names the shared part; empty if it is too small to matter.
    std::string key;
    /// Time by which the first event may come later there than elsewhere.
    Duration maxDelay{0};
    /// Servers that are reading the shared part and then send it to the store. Until then it cannot
    /// be had anywhere else without reading it again.
    std::vector<routing::Slot> readers;
    /// Time by which the first event may come later at a reader than elsewhere.
    Duration maxReaderDelay{0};
};

/// Returns a weights version of the routing tables as a number.
std::uint64_t versionNumber(const std::string &version);

/// Chooses among the candidates of a request for \p model. What runs on old weights is worth less
/// the longer ago the new ones were named, and nothing in the end. Returns nothing if no candidate
/// takes work.
std::optional<routing::Choice> chooseEngine(const Servers &servers, const routing::Request &request,
                                            const std::string &model, const Placement &placement,
                                            TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H
