// The state machine of the catalogue and the instances. Every control member applies the same
// changes in the same order and so holds the same state.

#ifndef KUMQUATHAVEN_CATALOGUE_STATE_H
#define KUMQUATHAVEN_CATALOGUE_STATE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/change.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace kumquathaven::catalogue {

/// The answer given to a change id, with a hash of the change.
struct RecordedAnswer
{
    std::uint64_t changeHash = 0;
    Answer answer;
};

/// Answers by change id, so that a change sent again gets its first answer.
struct AnswerHistory
{
    std::map<std::string, RecordedAnswer> answers;
    /// The change ids, oldest first.
    std::deque<std::string> order;
};

/// Number of change ids kept. At 39,000 changes a day that is more than two hours of changes.
constexpr std::size_t maxRecordedAnswers = 4096;

/// Everything that control keeps about the catalogue and the entry instances.
struct State
{
    Catalogue catalogue;
    Instances instances;
    /// Names of the entry instances that operators drained.
    std::set<std::string> drained;
    AnswerHistory memory;
};

/// Applies a change. Deterministic: equal states and changes give equal states and answers. A
/// refused change leaves the state as it was, but for the remembered answer.
Answer apply(State &state, const Change &change);

/// Checks that every reference names an entry that exists and that no two entries claim the same
/// thing. The error names the entry, the field and what is allowed.
Result<void> checkReferences(const Catalogue &catalogue);

/// Returns the whole state as bytes for a snapshot.
std::string encodeState(const State &state);

/// Reads a snapshot made by encodeState().
Result<State> decodeState(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_STATE_H
