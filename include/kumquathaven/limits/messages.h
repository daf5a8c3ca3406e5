// Messages between the instances that spend tokens and those that keep the buckets.
//
// Every counter is cumulative within a session, so that lost, duplicated, delayed or reordered
// messages never count tokens twice.

#ifndef KUMQUATHAVEN_LIMITS_MESSAGES_H
#define KUMQUATHAVEN_LIMITS_MESSAGES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/group.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace kumquathaven::limits {

/// Identifies the period in which one instance may act as a bucket's home. A larger term ends all
/// smaller ones.
struct Term
{
    std::uint64_t epoch = 0;
    std::uint32_t round = 0;
    /// The candidate's position in the group, so that no two candidates share a term.
    std::uint32_t rank = 0;
};

inline bool operator<(const Term &a, const Term &b)
{
    return std::tie(a.epoch, a.round, a.rank) < std::tie(b.epoch, b.round, b.rank);
}
inline bool operator==(const Term &a, const Term &b)
{
    return std::tie(a.epoch, a.round, a.rank) == std::tie(b.epoch, b.round, b.rank);
}
inline bool operator!=(const Term &a, const Term &b)
{
    return !(a == b);
}

/// The unspent tokens of a bucket. The standbys hold a copy, so that it survives a crash of the
/// home.
struct HeldState
{
    /// The term of the home that wrote the state. A default term means that no state is held.
    Term term;
    std::uint64_t version = 0;
    /// Tokens in the bucket that are not granted.
    double level = 0;
    /// Granted tokens that spenders may still spend.
    double outstanding = 0;
};

/// A spender's report of how it used its tokens, and its request for more.
struct TokenRequest
{
    std::string bucket;
    /// The term of the home that the session belongs to. A session with a default term does not
    /// belong to a home yet.
    Term term;
    /// The incarnation grows with each start of the process and the session with each session of
    /// that process, so that the home can reject messages of an older session.
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    /// Numbers the requests of a session. The answer repeats the number, so that the spender knows
    /// when it sent the request.
    std::uint64_t sequence = 0;
    /// Tokens transferred from the session with the bucket's former home.
    std::uint64_t carried = 0;
    /// Tokens of the session that are finally spent.
    std::uint64_t spent = 0;
    /// Tokens of the session that were returned unspent.
    std::uint64_t returned = 0;
    /// Refunds that the spender has waived, in tokens. They count as spent.
    std::uint64_t waived = 0;
    /// Tokens that are reserved for running requests at present.
    std::uint64_t reserved = 0;
    /// Tokens that are missing for the oldest waiting request that cannot run.
    std::uint64_t first = 0;
    /// Tokens that are missing for all waiting requests.
    std::uint64_t need = 0;
    /// Tokens that the spender would like to have, including need.
    std::uint64_t want = 0;
    /// Whether the bucket's home has not answered the spender.
    bool homeIsSilent = false;
};

/// The role of the instance that sends an Answer.
enum class AnswerKind {
    /// The sender is the home, and the answer belongs to the spender's session.
    Granted,
    /// The sender is the home, but the spender must open a new session under the answer's term.
    Reopen,
    /// The sender is becoming the home, and does not know yet how many tokens are unspent.
    Starting,
    /// The sender is not the home. The rank in the answer's term is that of a possible home.
    NotHome,
};

/// An answer to a TokenRequest. The home also sends answers on its own initiative, for example to
/// recall tokens.
struct Answer
{
    std::string bucket;
    AnswerKind kind = AnswerKind::Granted;
    Term term;
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    /// Tokens granted in the session so far, including the carried ones.
    std::uint64_t granted = 0;
    /// How long the session is valid, counted from when the spender sent the request with this
    /// sequence.
    Duration validFor{};
    /// Refunds that the spender must waive, in tokens counted from the start of the session.
    std::uint64_t waiveTarget = 0;
    /// Whether the spender must return its unspent tokens at once, since another instance needs
    /// them.
    bool recall = false;
    /// The minimum time that the oldest waiting request must wait. Zero if it has its tokens.
    Duration retryAfter{};
};

/// Replicates the home's state to a standby. The home does so before it sends a grant.
struct Replicate
{
    std::string bucket;
    HeldState state;
};

/// A standby's answer to Replicate. If the promised term is larger than the home's, the home steps
/// down.
struct ReplicaAck
{
    std::string bucket;
    /// The incarnation of the process that answers.
    std::uint64_t incarnation = 0;
    Term promised;
    std::uint64_t version = 0;
};

/// A candidate's request that a member follow no smaller term and report the state it holds.
struct Prepare
{
    std::string bucket;
    Term term;
};

/// A member's answer to Prepare.
struct Promise
{
    std::string bucket;
    /// The incarnation of the process that answers.
    std::uint64_t incarnation = 0;
    /// The largest term that the member follows: the candidate's, unless the member has already
    /// promised a larger one.
    Term promised;
    /// The newest state that the member holds.
    HeldState held;
    /// The minimum age of that state.
    Duration age{};
    /// The newest epoch that the member has seen.
    std::uint64_t epoch = 0;
    /// The groups that kept the bucket, newest first, without a gap. Empty if the member has not
    /// seen the present group's predecessor.
    std::vector<Group> history;
    /// How much longer the member may spend tokens that earlier homes granted. It accepts no new
    /// grants from them.
    Duration maySpendFor{};
};

using Message = std::variant<TokenRequest, Answer, Replicate, ReplicaAck, Prepare, Promise>;

/// A message and the name of the instance that receives it.
struct Envelope
{
    std::string to;
    Message message;
};

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_MESSAGES_H
