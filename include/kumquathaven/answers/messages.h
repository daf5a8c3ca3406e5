// Messages that instances exchange to find the holder of an answer and to fetch the answer.

#ifndef KUMQUATHAVEN_ANSWERS_MESSAGES_H
#define KUMQUATHAVEN_ANSWERS_MESSAGES_H

#include "kumquathaven/answers/answerstore.h"
#include "kumquathaven/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquathaven::answers {

/// Asks the home of some work for the holder of its answer. The sender of a request chooses its
/// number, and replies repeat that number.
struct Claim
{
    std::uint64_t number = 0;
    WorkKey key;
    /// A holder from which the sender got no answer. Empty if the sender has asked no holder yet.
    std::string staleHolder;
};

/// The home's reply to a claim. If the holder is empty, the claimant has become the holder.
struct ClaimAnswer
{
    std::uint64_t number = 0;
    std::string holder;
};

/// Asks a holder to send an answer from its beginning.
struct Fetch
{
    std::uint64_t number = 0;
    WorkKey key;
    std::string bodyFingerprint;
};

/// Cancels a fetch that no longer has a reader.
struct FetchEnd
{
    std::uint64_t number = 0;
};

/// State of an answer as its holder reports it.
enum class PartKind {
    /// The sender does not hold the answer, or no longer holds its beginning.
    Absent,
    /// The sender has not determined yet whether another instance holds the answer.
    Undecided,
    /// The key was used with another body.
    OtherBody,
    Running,
    Complete,
    Failed,
};

/// The next part of a fetched answer. A part of a running answer may be without chunks; it then
/// serves as a heartbeat.
struct AnswerPart
{
    std::uint64_t number = 0;
    /// Counts the parts of a fetch from 0, so that the receiver detects a lost part.
    std::uint64_t sequence = 0;
    PartKind kind = PartKind::Absent;
    /// Set in the first part that is sent after the head is known.
    std::optional<AnswerHead> head;
    std::vector<std::string> chunks;
};

using FleetMessage = std::variant<Claim, ClaimAnswer, Fetch, FetchEnd, AnswerPart>;

/// Encodes a message as CBOR.
std::string encodeMessage(const FleetMessage &message);

/// Decodes a message. The error has the code InvalidRequest and names \p peer.
Result<FleetMessage> decodeMessage(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_MESSAGES_H
