// A seeded list of requests: when each arrives, from which customer, and with which prompt.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ARRIVALS_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ARRIVALS_H

#include "kumquathaven/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::load {

/// Bytes of prompt text that count as one token.
constexpr std::uint64_t bytesPerToken = 4;

/// A stream of retries whose first attempts were before the load began.
struct RetryStorm
{
    /// Retries a second. Zero: there is no storm.
    double ratePerSecond = 0;
    Duration from{0};
    Duration to{0};
    /// Bytes of each prompt, which no other prompt shares.
    std::uint32_t promptBytes = 2000;
};

/// The shape of the load. Prompts nest in levels: a customer's root, a document below it, a
/// conversation below that, and a part that no other prompt has.
struct LoadShape
{
    std::uint64_t seed = 1;
    double ratePerSecond = 10;
    Duration length = std::chrono::seconds(10);
    std::uint32_t customers = 1;
    /// Weight of each customer's arrivals. Empty means equal weights.
    std::vector<double> shares;
    /// Bytes of one block of a prompt: four for each token.
    std::uint32_t blockBytes = 64;
    /// Blocks that all of a customer's prompts share.
    std::uint32_t rootBlocks = 4;
    /// Blocks of a document, which many prompts share, below the root.
    std::uint32_t documentBlocks = 8;
    std::uint32_t documents = 50;
    /// Blocks of a conversation, which a few prompts share, below the document.
    std::uint32_t conversationBlocks = 0;
    std::uint32_t conversations = 1;
    /// Least and most bytes of a prompt that no other prompt has.
    std::uint32_t ownBytes = 64;
    std::uint32_t mostOwnBytes = 64;
    /// Popularity of documents: the weight of number k is 1 / (k + 1) ^ skew.
    double skew = 1.1;
    /// After this time other documents become popular. Zero: never.
    Duration shift{0};
    RetryStorm storm;
};

/// A part of a prompt. Equal pieces have equal text.
struct Piece
{
    std::uint64_t number = 0;
    std::uint32_t bytes = 0;
};

/// One request to send.
struct Arrival
{
    /// Since the start of the load.
    Duration at{0};
    std::uint32_t customer = 0;
    /// The prompt, from the piece that most prompts share to the one that none shares.
    std::vector<Piece> prompt;
    /// Whether it is one of the retries of a storm.
    bool isStorm = false;
};

/// Returns the arrivals of a Poisson process in their order, with those of the storm; the same for
/// the same shape. The storm changes none of the others.
std::vector<Arrival> makeArrivals(const LoadShape &shape);

/// Returns the text of a prompt.
std::string promptText(const Arrival &arrival);

/// Returns the tokens of a prompt, as an engine counts them within one or two.
std::uint64_t promptTokens(const Arrival &arrival);

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ARRIVALS_H
