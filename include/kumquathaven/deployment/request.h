// The parts of a caller's request and of an upstream's answer on which decisions are based.

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

/// The parsed head of a caller's request.
struct CallerHead
{
    /// The caller's id of this attempt; empty if it sent none.
    std::string requestId;
    /// Time for which the caller waits for an answer.
    std::optional<Duration> timeout;
    std::string key;
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /// Whether the caller sent promptTokens and maxOutputTokens.
    bool hasTokenCounts = false;
    /// The caller's estimate of the number of output tokens.
    std::optional<std::uint64_t> expectedOutputTokens;
    /// The parts of the prompt in order. The last part belongs to this request alone.
    std::vector<PromptPart> prompt;
    /// Id of the last event that the caller received; empty if it asks for the complete stream.
    std::string resumeAfter;
};

/// Information that the system adds to a request when it forwards the request to a server.
struct ForwardingContext
{
    /// Remaining time for which the caller waits.
    Duration timeLeft{0};
    std::string serverId;
    /// Empty for requests without a key, which only routes open to all accept.
    std::string customer;
    /// Zero is the most urgent.
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> expectedWeights;
    /// Scope of the prompt cache: cached parts are reused only by requests with the same scope.
    /// Empty: no scope is set.
    std::string cacheScope;
    /// Address of the store from which missing parts of the prompt are fetched, and of the store to
    /// which processed parts are saved.
    std::string fetchFrom;
    std::string saveTo;
    /// Id of the event after which the stream is to continue. Empty: the request is forwarded as
    /// the caller sent it.
    std::string resumeAfter;
};

/// The parsed head of an upstream's answer.
struct AnswerHead
{
    /// The server states that the request did not run and will not run.
    bool isNotRun = false;
    /// The address now belongs to another server.
    bool isOtherServer = false;
    /// Id of the server that answered; empty if the answer does not contain it.
    std::string serverId;
    /// Id of the request that was answered; empty if the answer does not contain it.
    std::string requestId;
    std::optional<std::uint64_t> weights;
    /// The server is about to stop and wants no new requests.
    bool isLeaving = false;
    /// The server refused the request and accepts none from this instance for this time.
    std::optional<Duration> pause;
    /// Time for which the server keeps an idle connection open, if the answer contains it.
    std::optional<Duration> keepAlive;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_REQUEST_H
