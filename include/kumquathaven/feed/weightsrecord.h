// What a control member knows of the times at which weights versions were set.

#ifndef KUMQUATHAVEN_FEED_WEIGHTSRECORD_H
#define KUMQUATHAVEN_FEED_WEIGHTSRECORD_H

#include "kumquathaven/catalogue/change.h"
#include "kumquathaven/feed/messages.h"

#include <optional>

namespace kumquathaven::feed {

/// Records when a member applied versions, and learns earlier times from other members: the leader
/// applies a version when it is accepted, and a member that was cut off or restarted applies it
/// later or finds it in its state. Members exchange what they know with each proof, both ways,
/// since the one that knows a time may not be the leader.
class WeightsRecord
{
public:
    /// Ages of a model's versions are sent while one of them was set within \p recent.
    explicit WeightsRecord(Duration recent)
        : m_recent(recent)
    { }

    /// Records the versions of a restored state, whose ages are not known.
    void restore(const catalogue::Catalogue &catalogue);

    /// Records a change that was applied now by a member whose newest proof is of \p provenAt.
    void apply(const catalogue::Change &change, TimePoint provenAt, TimePoint now);

    void learn(const WeightsAges &message, TimePoint now);

    /// Returns the ages to send to entries and members; empty if no version was set lately.
    std::optional<WeightsAges> recent(TimePoint now) const;

private:
    const Duration m_recent;
    catalogue::WeightsTimes m_times;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_WEIGHTSRECORD_H
