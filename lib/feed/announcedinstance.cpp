// What an instance announces about itself when it starts.

#include "kumquathaven/base/walltime.h"
#include "kumquathaven/feed/client.h"
#include "kumquathaven/feed/place.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace kumquathaven::feed {

namespace {

/// Returns the capacity of this instance relative to the other entries.
std::uint32_t weightOf(const settings::Settings &settings)
{
    // The weight of a whole processor, fine enough for entries with a few hundredths of one.
    constexpr double processorWeight = 1'000;
    constexpr double maxWeight = 1e6;
    if (!settings.platform || settings.platform->processorShare <= 0)
        return settings.weight;
    const double weight = settings.platform->processorShare * processorWeight;
    return static_cast<std::uint32_t>(std::clamp(std::round(weight), 1.0, maxWeight));
}

} // namespace

catalogue::Instance configuredInstance(const settings::Settings &settings)
{
    catalogue::Instance self;
    self.name = settings.instance;
    self.region = settings.region;
    self.failureDomain = settings.failureDomain;
    self.callers = settings::toString(settings::reachableCallers(settings));
    self.link = settings::toString(settings::reachableLink(settings));
    self.weight = weightOf(settings);
    return self;
}

catalogue::Instance startingInstance(const settings::Settings &settings)
{
    std::random_device device;
    catalogue::Instance self = configuredInstance(settings);
    self.incarnation = (static_cast<std::uint64_t>(device()) << 32U) | device();
    self.since = wallMilliseconds();
    self.place = placeOf(localNetwork(), settings.link);
    return self;
}

} // namespace kumquathaven::feed
