#include "kumquathaven/settings/settings.h"

#include "platform.h"
#include "reader.h"

#include <arpa/inet.h>
#include <limits>

#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace kumquathaven::settings {

namespace {

constexpr std::array<EnumName<Role>, 2> roleNames{{
    {Role::Entry, "entry"},
    {Role::Control, "control"},
}};

constexpr std::array<EnumName<RoutingStrategy>, 4> routingStrategyNames{{
    {RoutingStrategy::ExpectedFirstToken, "expectedFirstToken"},
    {RoutingStrategy::Random, "random"},
    {RoutingStrategy::LeastLoaded, "leastLoaded"},
    {RoutingStrategy::PrefixHash, "prefixHash"},
}};

constexpr std::uint32_t maxMembers = 19;
constexpr std::size_t minSecretChars = 16;

Member readMember(const YAML::Node &node, const std::string &path, Problems &problems)
{
    Member member;
    if (!node.IsMap()) {
        problems.add(node.Mark(), path, "must be a mapping");
        return member;
    }
    MapReader reader(node, path, problems);
    reader.string("name", member.name, true);
    reader.string("failureDomain", member.failureDomain, true);
    reader.address("link", member.link, true);
    reader.address("operators", member.operators, true);
    reader.finish();
    return member;
}

void readMembers(MapReader &top, Settings &settings, Problems &problems)
{
    // On a platform the members are found through seeds.
    const bool isListed = !settings.platform.has_value();
    if (!isListed && top.has("control"))
        top.problem("control", "is not allowed beside \"platform\"");
    if (!isListed)
        return;
    const YAML::Node list = top.child("control", YAML::NodeType::Sequence, true);
    if (!list.IsDefined())
        return;
    std::set<std::string> names;
    for (std::size_t n = 0; n < list.size(); ++n) {
        const std::string path = "control[" + std::to_string(n) + "]";
        settings.members.push_back(readMember(list[n], path, problems));
        const std::string &name = settings.members.back().name;
        if (!name.empty() && !names.insert(name).second)
            problems.add(list[n].Mark(), path + ".name", "\"" + name + "\" stands twice");
    }
    if (settings.members.empty() || settings.members.size() > maxMembers)
        top.problem("control", "must have 1 to " + std::to_string(maxMembers) + " members");
}

void readListen(MapReader &top, Settings &settings, Problems &problems)
{
    const YAML::Node node = top.child("listen", YAML::NodeType::Map, true);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "listen", problems);
    const bool isEntry = settings.role == Role::Entry;
    if (isEntry || reader.has("callers"))
        reader.address("callers", settings.callers, isEntry);
    if (!isEntry && reader.has("callers"))
        reader.problem("callers", "is allowed only for role entry");
    reader.address("operators", settings.operators, true);
    reader.address("link", settings.link, true);
    reader.address("metrics", settings.metrics, false);
    reader.finish();
}

/// Reads the addresses that others are told.
void readAnnounce(MapReader &top, Settings &settings, Problems &problems)
{
    const YAML::Node node = top.child("announce", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    if (settings.role != Role::Entry)
        top.problem("announce", "is allowed only for role entry");
    MapReader reader(node, "announce", problems);
    reader.address("callers", settings.announcedCallers, false);
    reader.address("link", settings.announcedLink, false);
    reader.finish();
}

constexpr std::uint32_t minMemoryBytes = 32U * 1024 * 1024;
constexpr std::uint32_t maxMemoryBytes = std::numeric_limits<std::uint32_t>::max();

void readBounds(MapReader &top, Bounds &bounds, Problems &problems)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const YAML::Node node = top.child("bounds", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "bounds", problems);
    reader.integer("maxStreams", bounds.maxStreams, 1, 4096);
    reader.bytes("maxBody", bounds.maxBodyBytes, 1024, 64 * 1024 * 1024);
    reader.bytes("memory", bounds.memoryBytes, minMemoryBytes, maxMemoryBytes);
    reader.integer("maxHeaderFields", bounds.maxHeaderFields, 8, 1000);
    reader.duration("callerIdle", bounds.callerIdle, seconds(1), seconds(600));
    reader.duration("upstreamConnect", bounds.upstreamConnect, milliseconds(10), seconds(60));
    reader.duration("upstreamSilence", bounds.upstreamSilence, milliseconds(100), seconds(3600));
    reader.finish();
}

void readNested(MapReader &top, Settings &settings, Problems &problems)
{
    if (const auto node = top.child("prefix", YAML::NodeType::Map, false); node.IsDefined()) {
        MapReader reader(node, "prefix", problems);
        reader.integer("blockTokens", settings.blockTokens, 16, 100000);
        reader.finish();
    }
    if (const auto node = top.child("feedRelays", YAML::NodeType::Map, false); node.IsDefined()) {
        MapReader reader(node, "feedRelays", problems);
        reader.integer("directEntries", settings.feedRelays.directEntries, 1, 8192);
        reader.integer("children", settings.feedRelays.children, 0, 256);
        reader.finish();
    }
    if (const auto node = top.child("traces", YAML::NodeType::Map, false); node.IsDefined()) {
        MapReader reader(node, "traces", problems);
        reader.string("file", settings.traceFile, true);
        reader.finish();
    }
    if (const auto node = top.child("log", YAML::NodeType::Map, false); node.IsDefined()) {
        MapReader reader(node, "log", problems);
        reader.string("level", settings.logLevel, true);
        const std::set<std::string> levels{"debug", "info", "warn", "error"};
        if (levels.count(settings.logLevel) == 0)
            reader.problem("level", "must be debug, info, warn or error");
        reader.integer("linesPerSecond", settings.logLinesPerSecond, 0, 1'000'000);
        reader.finish();
    }
}

void readRouting(MapReader &top, Settings &settings, Problems &problems)
{
    const bool isEntry = settings.role == Role::Entry;
    if (!isEntry && top.has("routing"))
        top.problem("routing", "is allowed only for role entry");
    const auto node = top.child("routing", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    MapReader reader(node, "routing", problems);
    reader.enumeration("strategy", routingStrategyNames, settings.routingStrategy, false);
    reader.finish();
}

void readDataFolder(MapReader &top, Settings &settings)
{
    const bool isControl = settings.role == Role::Control;
    if (isControl || top.has("dataFolder"))
        top.string("dataFolder", settings.dataFolder, isControl);
    if (!isControl && top.has("dataFolder"))
        top.problem("dataFolder", "is allowed only for role control");
}

void readPlatformList(MapReader &top, Settings &settings, Problems &problems)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const YAML::Node node = top.child("platformList", YAML::NodeType::Map, false);
    if (!node.IsDefined())
        return;
    if (settings.role != Role::Control)
        top.problem("platformList", "is allowed only for role control");
    PlatformList &list = settings.platformList;
    MapReader reader(node, "platformList", problems);
    reader.string("file", list.file, true);
    reader.duration("interval", list.interval, milliseconds(100), seconds(600));
    reader.duration("maxAge", list.maxAge, seconds(1), seconds(3600));
    reader.finish();
}

void checkWhole(MapReader &top, const Settings &settings)
{
    if (!settings.linkSecret.empty() && settings.linkSecret.size() < minSecretChars)
        top.problem("linkSecret",
                    "must have at least " + std::to_string(minSecretChars) + " characters");
    if (settings.role != Role::Control || settings.platform)
        return;
    for (const auto &it : settings.members) {
        if (it.name == settings.instance)
            return;
    }
    top.problem("control", "does not have this instance, \"" + settings.instance + "\"");
}

Settings readTop(const YAML::Node &root, Problems &problems)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    Settings settings;
    MapReader top(root, "", problems);
    top.enumeration("role", roleNames, settings.role, true);
    top.string("instance", settings.instance, true);
    top.string("region", settings.region, true);
    top.string("failureDomain", settings.failureDomain, true);
    readListen(top, settings, problems);
    readAnnounce(top, settings, problems);
    top.string("linkSecret", settings.linkSecret, true);
    top.integer("weight", settings.weight, 1, 10000);
    readDataFolder(top, settings);
    readPlatformList(top, settings, problems);
    settings.platform = readPlatform(top, settings.role, problems);
    readMembers(top, settings, problems);
    top.duration("freshnessBound", settings.freshnessBound, milliseconds(500), seconds(60));
    top.duration("entriesTtl", settings.entriesTtl, milliseconds(100), seconds(600));
    readNested(top, settings, problems);
    readRouting(top, settings, problems);
    readBounds(top, settings.bounds, problems);
    checkWhole(top, settings);
    top.finish();
    return settings;
}

Error invalid(const std::string &file, const std::string &message)
{
    return {ErrorCode::InvalidRequest, "settings.read", file, message, Outcome::NotRun, {}};
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &it : lines)
        text += (text.empty() ? "" : "\n") + it;
    return text;
}

} // namespace

std::string toString(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return {};
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return {};
    return {text.substr(0, colon), port};
}

bool isIpAddress(const Address &address)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return address.port != 0
        && (::inet_pton(AF_INET, address.host.c_str(), bytes.data()) == 1
            || ::inet_pton(AF_INET6, address.host.c_str(), bytes.data()) == 1);
}

Result<Settings> parseSettings(const std::string &text, const std::string &name)
{
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception &e) {
        return fail(invalid(name, name + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg));
    }
    if (!root.IsMap())
        return fail(invalid(name, name + ":1: the file must be a mapping of fields"));
    Problems problems{name, {}};
    Settings settings = readTop(root, problems);
    if (!problems.texts.empty())
        return fail(invalid(name, joined(problems.texts)));
    return settings;
}

Address linkOfSeed(const Settings &settings, const Address &seed)
{
    return {seed.host, settings.link.port};
}

Address reachableCallers(const Settings &settings)
{
    return settings.announcedCallers.port == 0 ? settings.callers : settings.announcedCallers;
}

Address reachableLink(const Settings &settings)
{
    return settings.announcedLink.port == 0 ? settings.link : settings.announcedLink;
}

Result<Settings> readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return fail(invalid(file, "the file can not be read"));
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace kumquathaven::settings
