// Messages between the instances that spend tokens and those that keep the buckets.
//
// Every counter is cumulative within a session, so that a message may be lost, repeated, late or
// out of order without changing a sum twice.

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

/// The right of one instance to act as a bucket's home. Larger terms end smaller ones.
struct Term
{
    std::uint64_t epoch = 0;
    std::uint32_t round = 0;
    /// Place of the candidate in the group, so that no two candidates share a term.
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

/// What is unspent in a bucket. It survives the home's crash on the standbys.
struct HeldState
{
    /// A default term means that nothing is held.
    Term term;
    std::uint64_t version = 0;
    /// Tokens in the bucket, and tokens that spenders may still spend.
    double level = 0;
    double outstanding = 0;
};

/// A spender's report of what it did with its tokens, and its request for more.
struct TokenRequest
{
    std::string bucket;
    /// The term the session belongs to. A default term belongs to no home yet.
    Term term;
    /// Grows with each start of the process and each session, so that an old one cannot return.
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    /// Numbers the asks of a session. Answers carry it back, so that the spender can date them.
    std::uint64_t sequence = 0;
    /// Tokens brought along from the session with the bucket's former home.
    std::uint64_t carried = 0;
    /// Tokens of the session that are spent for good.
    std::uint64_t spent = 0;
    /// Tokens of the session that were returned unspent.
    std::uint64_t returned = 0;
    /// Refunds that the spender gave up.
    std::uint64_t waived = 0;
    /// Tokens held now for running requests.
    std::uint64_t reserved = 0;
    /// Tokens that the oldest waiting request lacks, that all of them lack, and that the spender
    /// would like to have, the latter two included.
    std::uint64_t first = 0;
    std::uint64_t need = 0;
    std::uint64_t want = 0;
    /// Whether the spender had no answer from the bucket's home.
    bool homeIsSilent = false;
};

/// What an Answer says about the instance that sends it.
enum class AnswerKind {
    /// It is the home, and the answer belongs to the session.
    Granted,
    /// It is the home, but the spender must open a new session under the answer's term.
    Reopen,
    /// It is the home, and has yet to learn what is unspent.
    Starting,
    /// It is not the home. The term's rank tells who may be.
    NotHome,
};

/// The home's answer to an Ask, also sent unasked.
struct Answer
{
    std::string bucket;
    AnswerKind kind = AnswerKind::Granted;
    Term term;
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    /// Tokens of the session granted so far, the carried ones included.
    std::uint64_t granted = 0;
    /// How long the session stands, counted from the sending of the Ask with this sequence.
    Duration validFor{};
    /// Refunds, counted from the start of the session, that the spender shall give up.
    std::uint64_t waiveTarget = 0;
    /// Unspent tokens shall be returned at once, since another instance lacks them.
    bool recall = false;
    /// How long the oldest waiting request must wait at least. Zero if it has its tokens.
    Duration retryAfter{};
};

/// A home tells its standbys what is unspent before it grants.
struct Replicate
{
    std::string bucket;
    HeldState state;
};

/// A standby's answer to Replicate. A promised term larger than the home's ends that home.
struct ReplicaAck
{
    std::string bucket;
    /// The start of the process that answers.
    std::uint64_t incarnation = 0;
    Term promised;
    std::uint64_t version = 0;
};

/// A candidate asks the members of a group to follow no smaller term, and for what they hold.
struct Prepare
{
    std::string bucket;
    Term term;
};

/// A member's answer to Prepare.
struct Promise
{
    std::string bucket;
    /// The start of the process that answers.
    std::uint64_t incarnation = 0;
    /// The largest term the member follows: the candidate's, unless it came too late.
    Term promised;
    /// The newest state the member holds.
    HeldState held;
    /// How long ago, at least, that state was true.
    Duration age{};
    /// The newest epoch the member has seen.
    std::uint64_t epoch = 0;
    /// The groups that kept the bucket, newest first, without a gap. Empty if the member has not
    /// seen the group that came before the present one.
    std::vector<Group> history;
    /// How much longer the member may spend tokens of earlier homes. It takes no grant of them any
    /// more.
    Duration maySpendFor{};
};

using Message = std::variant<TokenRequest, Answer, Replicate, ReplicaAck, Prepare, Promise>;

/// A message with the name of the instance it goes to.
struct Envelope
{
    std::string to;
    Message message;
};

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_MESSAGES_H
