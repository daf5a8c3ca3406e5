// Reads the time limit of a rollout on the command line.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_LIMIT_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_LIMIT_H

#include <cstdint>
#include <optional>
#include <string>

namespace kumquathaven::ctl {

/// Reads a whole number with a unit, one of ms, s, m and h, from 1 ms to 7 days. Returns
/// milliseconds, or nothing if the text is anything else.
std::optional<std::uint64_t> parseLimitMs(const std::string &text);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_LIMIT_H
