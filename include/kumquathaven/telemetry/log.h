// Structured log lines on standard output.
//
// A line is for a decision that touches a request, or that changes what the process believes; what
// happens often is counted in metrics as well. Writing never blocks its caller: lines go through a
// bounded ring to a thread of their own, and those beyond the budget are dropped and counted.

#ifndef KUMQUATHAVEN_TELEMETRY_LOG_H
#define KUMQUATHAVEN_TELEMETRY_LOG_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::telemetry {

/// Lines of level Info and below tell of what went well; the others are kept before them.
enum class LogLevel { Debug, Info, Warn, Error };

/// Names and values that follow the message of a line.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Sends lines of at least this level to standard output, with the instance's name in each. Call it
/// once, before the first duty starts. \p level is "debug", "info", "warn" or "error";
/// \p linesPerSecond bounds their number, zero does not.
void startLogging(const std::string &instance, const std::string &level,
                  std::uint32_t linesPerSecond);

/// Writes one JSON line with time, level, instance, duty, message and fields, unless there are too
/// many.
void logLine(LogLevel level, const std::string &duty, const std::string &message,
             const LogFields &fields = {});

/// Returns how many lines were dropped since the start.
std::uint64_t droppedLogLines();

/// Writes what waits, if that takes no longer than a moment. To be called when the process ends.
void flushLog();

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_TELEMETRY_LOG_H
