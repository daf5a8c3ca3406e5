#include "kumquathaven/catalogue/weightstimes.h"

#include <algorithm>

namespace kumquathaven::catalogue {

namespace {

/// Records a time unless an earlier one is known. Returns whether that changed anything.
bool recordTime(std::map<std::uint64_t, TimePoint> &versions, std::uint64_t version, TimePoint at)
{
    const auto [it, isNew] = versions.try_emplace(version, at);
    const bool isEarlier = at != TimePoint{} && (it->second == TimePoint{} || at < it->second);
    if (!isNew && isEarlier)
        it->second = at;
    while (versions.size() > maxWeightsVersions)
        versions.erase(versions.begin());
    return isNew || isEarlier;
}

} // namespace

TimePoint arrivalTime(TimePoint provenAt, Duration recent, TimePoint now)
{
    const bool isKnown = provenAt != TimePoint{} && now - provenAt < recent / 2;
    return isKnown ? now : TimePoint{};
}

void recordWeights(WeightsTimes &times, const std::string &model, std::uint64_t version,
                   std::uint64_t replaced, TimePoint at)
{
    std::map<std::uint64_t, TimePoint> &versions = times.setAt[model];
    // Without its predecessor the version would count as the first that replaced any other one.
    if (replaced != 0)
        recordTime(versions, replaced, {});
    recordTime(versions, version, at);
}

void recordPresent(WeightsTimes &times, const std::map<std::string, std::uint64_t> &weights)
{
    for (const auto &[model, version] : weights)
        recordTime(times.setAt[model], version, {});
}

bool recordAges(WeightsTimes &times, const std::vector<WeightsAge> &ages, TimePoint now)
{
    bool hasChanged = false;
    for (const WeightsAge &it : ages) {
        const TimePoint at = it.age ? now - *it.age : TimePoint{};
        hasChanged = recordTime(times.setAt[it.model], it.version, at) || hasChanged;
    }
    return hasChanged;
}

std::vector<WeightsAge> recentAges(const WeightsTimes &times, Duration recent, TimePoint now)
{
    std::vector<WeightsAge> ages;
    for (const auto &[model, versions] : times.setAt) {
        const bool isRecent = std::any_of(versions.begin(), versions.end(), [&](const auto &it) {
            return it.second != TimePoint{} && now - it.second < recent;
        });
        if (!isRecent)
            continue;
        for (const auto &[version, at] : versions) {
            WeightsAge age{model, version, std::nullopt};
            if (at != TimePoint{})
                age.age = std::max(Duration(0), now - at);
            ages.push_back(std::move(age));
        }
    }
    return ages;
}

Duration timeSinceReplaced(const WeightsTimes &times, const std::string &model,
                           std::uint64_t version, TimePoint now)
{
    const auto versions = times.setAt.find(model);
    if (versions == times.setAt.end())
        return Duration(0);
    const auto next = versions->second.upper_bound(version);
    if (next == versions->second.end())
        return Duration(0);
    return next->second == TimePoint{} ? Duration::max() : now - next->second;
}

} // namespace kumquathaven::catalogue
