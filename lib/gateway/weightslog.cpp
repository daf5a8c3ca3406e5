#include "weightslog.h"

#include "kumquathaven/telemetry/log.h"

namespace kumquathaven::gateway {

namespace {

constexpr Duration minChange = std::chrono::milliseconds(500);

bool isKnownAs(const catalogue::WeightsTimes &times, const std::string &model,
               std::uint64_t version, TimePoint at)
{
    const auto versions = times.setAt.find(model);
    if (versions == times.setAt.end())
        return false;
    const auto it = versions->second.find(version);
    if (it == versions->second.end())
        return false;
    if (it->second == TimePoint{} || at == TimePoint{})
        return it->second == at;
    return it->second - at < minChange;
}

} // namespace

void logWeights(const catalogue::WeightsTimes &former, const catalogue::WeightsTimes &present,
                TimePoint now)
{
    for (const auto &[model, versions] : present.setAt) {
        if (versions.empty())
            continue;
        const auto &[version, at] = *versions.rbegin();
        if (isKnownAs(former, model, version, at))
            continue;
        const std::string age = at == TimePoint{} ? "unknown" : std::to_string(toSeconds(now - at));
        telemetry::logLine(
            telemetry::LogLevel::Info, "gateway", "weights version known",
            {{"model", model}, {"version", std::to_string(version)}, {"setSecondsAgo", age}});
    }
}

} // namespace kumquathaven::gateway
