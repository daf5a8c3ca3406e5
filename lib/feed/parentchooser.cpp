#include "kumquathaven/feed/parentchooser.h"

#include "kumquathaven/feed/parents.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

constexpr Duration reviewInterval = std::chrono::seconds(10);
/// Moves after a change of the instance table are spread over this time.
constexpr Duration maxReviewDelay = std::chrono::seconds(1);
/// An instance whose relay failed stays with control for this time plus a random part of up to the
/// same length.
constexpr Duration moveDelay = std::chrono::seconds(4);
constexpr Duration avoidTime = std::chrono::seconds(60);

} // namespace

Move ParentChooser::review(const catalogue::Instances &instances, const catalogue::Instance &self,
                           const std::string &currentRelay, TimePoint now)
{
    if (instances.epoch != m_epoch) {
        m_epoch = instances.epoch;
        m_reviewAt = std::min(m_reviewAt, now + randomDelay(maxReviewDelay));
    }
    if (now < m_reviewAt || now < m_noMoveBefore)
        return {};
    m_reviewAt = now + reviewInterval + randomDelay(reviewInterval);
    if (!currentRelay.empty() && mayKeepParent(instances, currentRelay, self.name, m_relays))
        return {};
    for (auto it = m_avoided.begin(); it != m_avoided.end();)
        it = now >= it->second ? m_avoided.erase(it) : std::next(it);
    for (const catalogue::Instance &it : parentCandidates(instances, self, m_relays)) {
        if (m_avoided.count(it.name) == 0)
            return {Move::Kind::ToRelay, it};
    }
    return {currentRelay.empty() ? Move::Kind::Stay : Move::Kind::ToControl, {}};
}

void ParentChooser::recordFailure(const std::string &relay, TimePoint now)
{
    m_avoided[relay] = now + avoidTime;
    m_noMoveBefore = now + moveDelay + randomDelay(moveDelay);
    m_reviewAt = m_noMoveBefore;
}

Duration ParentChooser::randomDelay(Duration maxDelay)
{
    return fromSeconds(toSeconds(maxDelay) * m_random.uniform());
}

} // namespace kumquathaven::feed
