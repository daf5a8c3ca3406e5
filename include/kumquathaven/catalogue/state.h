// The replicated state machine of the catalogue and the instances. All control members apply the
// same changes in the same order and therefore hold the same state.

#ifndef KUMQUATHAVEN_CATALOGUE_STATE_H
#define KUMQUATHAVEN_CATALOGUE_STATE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/change.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace kumquathaven::catalogue {

/// The answer to the change with a given id. The hash detects another change under the same id.
struct RecordedAnswer
{
    std::uint64_t changeHash = 0;
    Answer answer;
};

/// The answers to recent changes, keyed by change id. They make retries idempotent: a change that
/// is sent again receives its first answer.
struct AnswerHistory
{
    std::map<std::string, RecordedAnswer> answers;
    /// The change ids, oldest first.
    std::deque<std::string> order;
};

/// Maximum number of change ids kept. At 39,000 changes a day they cover more than two hours.
constexpr std::size_t maxRecordedAnswers = 4096;

/// The complete replicated state of the catalogue and the entry instances.
struct State
{
    Catalogue catalogue;
    Instances instances;
    /// Names of the entry instances that operators drained.
    std::set<std::string> drained;
    AnswerHistory answerHistory;
};

/// Applies a change. The function is deterministic: equal states and changes give equal states and
/// answers. A refused change leaves the state unchanged except for the recorded answer.
Answer apply(State &state, const Change &change);

/// Checks that every reference names an existing entry of the right kind and model, that no two
/// keys have the same hash, and that no two routes have the same model or path prefix. The error
/// names the entry, the field and what is wrong.
Result<void> checkReferences(const Catalogue &catalogue);

/// Returns the complete state as the bytes of a snapshot.
std::string encodeState(const State &state);

/// Decodes a snapshot that encodeState() returned.
Result<State> decodeState(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_STATE_H
