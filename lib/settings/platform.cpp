#include "platform.h"

namespace kumquathaven::settings {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t maxSeeds = 16;
// Bounds that only keep arithmetic in range: deployments of any size have their own values, which
// may have a fraction, since a platform may scale them.
constexpr Duration minTime = milliseconds(1);
constexpr Duration maxTime = minutes(24 * 60);
constexpr double maxAmount = 1e15;
constexpr double minRate = 0.001;
constexpr double maxRate = 1e9;

void readSeeds(MapReader &reader, Platform &platform, Problems &problems)
{
    const YAML::Node list = reader.child("seeds", YAML::NodeType::Sequence, true);
    if (!list.IsDefined())
        return;
    for (const YAML::Node &it : list) {
        const Address address = parseAddress(it.IsScalar() ? it.Scalar() : std::string());
        if (address.port == 0)
            problems.add(it.Mark(), "platform.seeds", "must be IP addresses with ports");
        else
            platform.seeds.push_back(address);
    }
    if (platform.seeds.empty() || platform.seeds.size() > maxSeeds)
        reader.problem("seeds", "must have 1 to " + std::to_string(maxSeeds) + " addresses");
}

void readServerList(MapReader &platformReader, Platform &platform, Problems &problems)
{
    const YAML::Node node = platformReader.child("serverList", YAML::NodeType::Map, true);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "platform.serverList", problems);
    reader.address("address", platform.serverList, true);
    reader.number("callsPerSecond", platform.listCallsPerSecond, minRate, maxRate);
    reader.duration("lag", platform.listLag, milliseconds(0), minutes(10));
    reader.finish();
}

void readRetries(MapReader &platformReader, Platform &platform, Problems &problems)
{
    const YAML::Node node = platformReader.child("retries", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "platform.retries", problems);
    reader.number("ratio", platform.retryRatio, 0, 10);
    reader.number("slack", platform.retrySlack, 0, maxAmount);
    reader.duration("window", platform.retryWindow, minTime, maxTime);
    reader.finish();
}

void readRollouts(MapReader &platformReader, Platform &platform, Problems &problems)
{
    const YAML::Node node = platformReader.child("rollouts", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "platform.rollouts", problems);
    reader.number("exposureShare", platform.exposureShare, 0, 1);
    reader.number("exposureSlack", platform.exposureSlack, 0, maxAmount);
    reader.duration("rollbackTime", platform.rollbackTime, minTime, maxTime);
    reader.finish();
}

void readTimes(MapReader &reader, Platform &platform)
{
    reader.duration("catchUpTime", platform.catchUpTime, minTime, maxTime);
    reader.duration("drainTime", platform.drainTime, minTime, maxTime);
    reader.duration("stopGrace", platform.stopGrace, minTime, maxTime);
    reader.duration("inForceTime", platform.inForceTime, minTime, maxTime);
    reader.duration("weightsTime", platform.weightsTime, minTime, maxTime);
    reader.duration("orderLease", platform.orderLease, minTime, maxTime);
    reader.duration("maxEntriesTtl", platform.maxEntriesTtl, minTime, maxTime);
}

} // namespace

std::optional<Platform> readPlatform(MapReader &top, Role role, Problems &problems)
{
    const YAML::Node node = top.child("platform", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return std::nullopt;
    Platform platform;
    MapReader reader(node, "platform", problems);
    readSeeds(reader, platform, problems);
    reader.flag("firstStart", platform.isFirstStart);
    reader.flag("checksFencing", platform.checksFencing);
    reader.integer("lossesTolerated", platform.lossesTolerated, 0, 10000);
    const bool isControl = role == Role::Control;
    for (const char *it : {"declarations", "directory"}) {
        if (!isControl && reader.has(it))
            reader.problem(it, "is allowed only for role control");
    }
    if (isControl) {
        reader.address("declarations", platform.declarations, true);
        reader.address("directory", platform.directory, false);
    }
    readServerList(reader, platform, problems);
    readTimes(reader, platform);
    readRetries(reader, platform, problems);
    readRollouts(reader, platform, problems);
    reader.number("limitSlackTokens", platform.limitSlackTokens, 0, maxAmount);
    reader.flag("pacesServers", platform.pacesServers);
    reader.number("processorShare", platform.processorShare, 0, maxRate);
    reader.number("memoryMb", platform.memoryMb, 1, maxAmount);
    reader.integer("maxDescriptors", platform.maxDescriptors, 64, 1000000000);
    reader.finish();
    return platform;
}

} // namespace kumquathaven::settings
