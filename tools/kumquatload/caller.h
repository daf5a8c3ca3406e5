// One caller's request over a real socket, and what came of it.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_CALLER_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_CALLER_H

#include "arrivals.h"
#include "entrylist.h"
#include "kumquathaven/settings/settings.h"

#include <string>
#include <vector>

namespace kumquathaven::load {

/// How every request is sent.
struct CallOptions
{
    /// One key for each customer; empty keys are not shown.
    std::vector<std::string> keys;
    std::string model;
    std::uint32_t maxTokens = 8;
    /// How often a refused request is sent again.
    std::uint32_t retries = 0;
    /// Whether a retry waits for as long as the refusal says.
    bool honoursRetryAfter = true;
    /// The wait before a retry, unless the answer says when to come back.
    Duration retryDelay = std::chrono::milliseconds(200);
    Duration silence = std::chrono::seconds(30);
};

/// One attempt at a request.
struct AttemptRecord
{
    /// Since the start of the load.
    Duration at{0};
    /// "whole", "cut", "failed", "unreachable", or the code of the refusal.
    std::string result;
};

/// What one request brought.
struct CallResult
{
    /// The arrival that it stands for.
    std::size_t number = 0;
    std::uint32_t customer = 0;
    bool isStorm = false;
    /// When it was due, since the start of the load.
    Duration due{0};
    int status = 0;
    /// The result of the last attempt.
    std::string result;
    /// From the time at which the request was due, over all attempts.
    Duration firstToken{0};
    Duration whole{0};
    /// Longest wait between two parts of the answer.
    Duration longestGap{0};
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::vector<AttemptRecord> attempts;
    /// Who served it and why, as the answer's headers say.
    std::string upstream;
    std::string choice;
};

/// When a request is due and when the load began.
struct CallTimes
{
    TimePoint loadStart{};
    TimePoint due{};
};

/// Sends one streamed chat request, with retries, and reads the answer to its end.
CallResult callOnce(const CallOptions &options, EntryList &entries, const Arrival &arrival,
                    std::size_t number, const CallTimes &times);

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_CALLER_H
