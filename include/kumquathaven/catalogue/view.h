// The newest catalogue that an entry instance has received, with the proof of its freshness.

#ifndef KUMQUATHAVEN_CATALOGUE_VIEW_H
#define KUMQUATHAVEN_CATALOGUE_VIEW_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/catalogue/weightstimes.h"

#include <algorithm>
#include <memory>
#include <mutex>

namespace kumquathaven::catalogue {

/// A catalogue and a set of instances, with the time of their freshness proof.
struct Snapshot
{
    std::shared_ptr<const Catalogue> catalogue = std::make_shared<const Catalogue>();
    std::shared_ptr<const Instances> instances = std::make_shared<const Instances>();
    /// When the versions of models' weights were set.
    std::shared_ptr<const WeightsTimes> weightsTimes = std::make_shared<const WeightsTimes>();
    /// The last time at which a quorum confirmed that no newer revision was accepted. The default
    /// value means that there is no proof yet.
    TimePoint provenAt{};
    /// A time at which the epoch of the instances had certainly started. The default value means
    /// that none is known.
    TimePoint epochSince{};
    /// Whether another process has taken over this instance's name. Once set it is never cleared.
    bool replaced = false;
};

/// Returns whether a snapshot's proof is at most \p bound old, so that the snapshot may decide
/// whether a key is valid.
inline bool isFresh(const Snapshot &snapshot, TimePoint now, Duration bound)
{
    return snapshot.provenAt != TimePoint{} && now - snapshot.provenAt <= bound;
}

/// Returns whether the epoch is in force. By then the proof of every instance that has only an
/// earlier epoch is older than \p bound, so that the instance has stopped acting.
inline bool isEpochActive(const Snapshot &snapshot, TimePoint now, Duration bound)
{
    return snapshot.epochSince != TimePoint{} && now - snapshot.epochSince > bound;
}

/// Shares the newest snapshot between the feed duty, which updates it, and the requests, which read
/// it.
class View
{
public:
    /// Applies a snapshot, unless its revision or epoch is older than the present one. The time of
    /// the proof never decreases, so that a reconnection to a member that lags behind cannot take
    /// the instance back. Any thread may call it.
    void offer(const Snapshot &snapshot)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (snapshot.catalogue->revision < m_snapshot.catalogue->revision
            || snapshot.instances->epoch < m_snapshot.instances->epoch)
            return;
        const TimePoint provenAt = std::max(snapshot.provenAt, m_snapshot.provenAt);
        const bool replaced = snapshot.replaced || m_snapshot.replaced;
        m_snapshot = snapshot;
        m_snapshot.provenAt = provenAt;
        m_snapshot.replaced = replaced;
    }

    /// Returns the newest snapshot so far. Any thread may call it.
    Snapshot current() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_snapshot;
    }

private:
    mutable std::mutex m_mutex;
    Snapshot m_snapshot;
};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_VIEW_H
