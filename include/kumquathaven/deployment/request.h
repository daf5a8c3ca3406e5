// A caller's request and an upstream's answer, as far as the product decides by them.

#ifndef KUMQUATHAVEN_DEPLOYMENT_REQUEST_H
#define KUMQUATHAVEN_DEPLOYMENT_REQUEST_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/runtime/http.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::deployment {

/// A part of a prompt that requests may share.
struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

/// What the head of a caller's request says.
struct CallerHead
{
    /// The caller's id of this attempt; empty if it sent none.
    std::string requestId;
    /// How long the caller waits.
    std::optional<Duration> timeout;
    std::string key;
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /// Whether the two counts above were sent.
    bool hasTokenCounts = false;
    /// The caller's estimate of the answer's tokens.
    std::optional<std::uint64_t> expectedOutputTokens;
    /// The prompt in order; the last part is the request's own.
    std::vector<PromptPart> prompt;
    /// The last event that the caller already has; empty if it asks for the whole stream.
    std::string resumeAfter;
};

/// What the system tells a server along with a request.
struct ForwardingContext
{
    /// What is left of the caller's patience.
    Duration timeLeft{0};
    std::string serverId;
    /// Empty on routes open to all without a key.
    std::string customer;
    /// Zero is the most urgent.
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> expectedWeights;
    /// Cached parts of the prompt are found only under the same scope. Empty: none is set.
    std::string cacheScope;
    /// Where missing parts of the prompt are fetched from, and where read ones are saved to.
    std::string fetchFrom;
    std::string saveTo;
    /// Asks for what follows this event of the stream. Empty: as the caller asked.
    std::string resumeAfter;
};

/// What the head of an upstream's answer says.
struct AnswerHead
{
    /// The server states that the request did not run and never will.
    bool isNotRun = false;
    /// The address belongs to another server now.
    bool isOtherServer = false;
    /// The id of the server that answered, if it told.
    std::string serverId;
    /// The request that the answer is for; empty if it does not say.
    std::string requestId;
    std::optional<std::uint64_t> weights;
    /// How long the server keeps the connection idle, if it says.
    std::optional<Duration> keepAlive;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_REQUEST_H
