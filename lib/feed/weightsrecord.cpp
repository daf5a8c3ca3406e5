#include "kumquathaven/feed/weightsrecord.h"

#include <utility>

namespace kumquathaven::feed {

void WeightsRecord::restore(const catalogue::Catalogue &catalogue)
{
    catalogue::recordPresent(m_times, catalogue.weights);
}

void WeightsRecord::apply(const catalogue::Change &change, TimePoint provenAt, TimePoint now)
{
    const auto *body = std::get_if<catalogue::SetWeightsVersion>(&change.body);
    if (!body)
        return;
    const auto &known = m_times.setAt[body->model];
    const std::uint64_t replaced = known.empty() ? 0 : known.rbegin()->first;
    if (body->version > replaced)
        catalogue::recordWeights(m_times, body->model, body->version, replaced,
                                 catalogue::arrivalTime(provenAt, m_recent, now));
}

void WeightsRecord::learn(const WeightsAges &message, TimePoint now)
{
    catalogue::recordAges(m_times, message.ages, now);
}

std::optional<WeightsAges> WeightsRecord::recent(TimePoint now) const
{
    std::vector<catalogue::WeightsAge> ages = catalogue::recentAges(m_times, m_recent, now);
    if (ages.empty())
        return std::nullopt;
    return WeightsAges{std::move(ages)};
}

} // namespace kumquathaven::feed
