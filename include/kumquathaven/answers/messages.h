// Messages between instances about keyed work and its answers.

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

/// Asks the home of a piece of work who holds it. Numbers are the asker's.
struct Claim
{
    std::uint64_t number = 0;
    WorkKey key;
    /// A holder that had no answer. Empty if none was asked.
    std::string staleHolder;
};

/// The home's answer. No holder: the asker is it.
struct ClaimAnswer
{
    std::uint64_t number = 0;
    std::string holder;
};

/// Asks a holder for an answer from its beginning.
struct Fetch
{
    std::uint64_t number = 0;
    WorkKey key;
    std::string bodyFingerprint;
};

/// Ends a fetch whose reader has gone.
struct FetchEnd
{
    std::uint64_t number = 0;
};

/// What a holder says about an answer.
enum class PartKind {
    /// It is not held here, or its beginning is not.
    Absent,
    /// Its request is still asking who holds it.
    Undecided,
    /// The key was used with another body.
    OtherBody,
    Running,
    Complete,
    Failed,
};

/// The next part of a fetched answer. Parts of a running answer also come without a piece, as a
/// heartbeat.
struct AnswerPart
{
    std::uint64_t number = 0;
    /// Counts the parts of a fetch from 0, so that a lost one is noticed.
    std::uint64_t sequence = 0;
    PartKind kind = PartKind::Absent;
    /// Set in the first part that knows it.
    std::optional<AnswerHead> head;
    std::vector<std::string> chunks;
};

using FleetMessage = std::variant<Claim, ClaimAnswer, Fetch, FetchEnd, AnswerPart>;

/// Returns a message as CBOR.
std::string encodeMessage(const FleetMessage &message);

/// Reads a message. The error is InvalidRequest and names \p peer.
Result<FleetMessage> decodeMessage(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_MESSAGES_H
