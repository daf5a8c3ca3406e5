// The story of one request, put together from the log files of several processes.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_EXPLAIN_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_EXPLAIN_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace kumquathaven::ctl {

/// One line of a log, as it was written.
struct LogRecord
{
    /// ISO 8601 in UTC, so that texts compare like times.
    std::string time;
    std::string instance;
    std::string duty;
    nlohmann::ordered_json fields;
};

/// What happened to a request, and what the processes came to believe meanwhile.
struct Explanation
{
    /// Lines with the request's id, in order of time.
    std::vector<LogRecord> story;
    /// Lines of other duties from some time before the first of these to the last, in order of
    /// time.
    std::vector<LogRecord> beliefs;
};

/// Reads log lines. What stands before the first brace of a line is passed over, as prefixes of
/// those who collect logs; a line without a time and an instance is no record.
std::vector<LogRecord> readRecords(std::istream &in);

/// Puts the story of a request together. \p before is how long beliefs are told before its first
/// line.
Explanation explain(const std::vector<LogRecord> &records, const std::string &requestId,
                    Duration before);

/// Reads the files and prints the story of a request. The error names a file that can not be read,
/// or says that no line has the id.
Result<void> runExplain(const std::vector<std::string> &words, bool asJson);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_EXPLAIN_H
