// The settings of one instance, as read from its YAML file and checked whole.

#ifndef KUMQUATHAVEN_SETTINGS_SETTINGS_H
#define KUMQUATHAVEN_SETTINGS_SETTINGS_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::settings {

/// Which duties an instance's process has.
enum class Role { Entry, Control };

/// An IP address and a TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// Returns "host:port".
std::string toString(const Address &address);

/// Reads "host:port". Returns an address with port 0 if the text is not one.
Address parseAddress(const std::string &text);

/// Returns whether an address has a port and its host is an IPv4 or IPv6 address.
bool isIpAddress(const Address &address);

/// A control member as every instance knows it from its settings.
struct Member
{
    /// The instance name of the member.
    std::string name;
    std::string failureDomain;
    /// Where other instances connect.
    Address link;
    /// Where operators connect.
    Address operators;
};

/// How an entry chooses the engine of a request. All but the first are baselines for measurement.
enum class RoutingStrategy { ExpectedFirstToken, Random, LeastLoaded, PrefixHash };

/// Limits that keep a bad caller or peer from using up the instance.
struct Bounds
{
    std::uint32_t maxStreams = 512;
    std::uint32_t maxBodyBytes = 8 * 1024 * 1024;
    /// Memory that the process may use.
    std::uint32_t memoryBytes = 1024U * 1024 * 1024;
    std::uint32_t maxHeaderFields = 64;
    Duration callerIdle = std::chrono::seconds(30);
    Duration upstreamConnect = std::chrono::seconds(2);
    Duration upstreamSilence = std::chrono::seconds(60);
};

/// How entry instances feed each other with the control state.
struct FeedRelays
{
    /// Number of entries that control feeds itself.
    std::uint32_t directEntries = 64;
    /// Entries that each relay is meant to feed; it refuses more than twice as many. Zero: control
    /// feeds every entry.
    std::uint32_t children = 8;
};

/// Where the platform's list of instances is read, and how far it is believed.
struct PlatformList
{
    /// Empty: there is no list.
    std::string file;
    Duration interval = std::chrono::seconds(2);
    /// A list that was written longer ago says nothing.
    Duration maxAge = std::chrono::seconds(60);
};

/// What a process that runs on a platform is told by it. Control members then find each other
/// through seeds in place of a list of members, and upstreams are found by discovery.
struct Platform
{
    /// Operators' addresses of instances that were control members when the file was written. Their
    /// links have the same hosts and the own link's port.
    std::vector<Address> seeds;
    /// Whether the whole deployment starts for the first time, with empty disks.
    bool isFirstStart = false;
    /// Control members that may be lost at the same time.
    std::uint32_t lossesTolerated = 1;
    /// Time after its start in which the successor of a lost control member takes its place.
    Duration catchUpTime = std::chrono::seconds(4);
    /// Control: where operators hand in declarations. Entries have none.
    Address declarations;
    /// Control: where callers ask for entries. Entries have none.
    Address directory;
    /// Where the platform lists the upstreams' servers, the calls that it takes a second from all
    /// instances together, and how far it may lag.
    Address serverList;
    double listCallsPerSecond = 10;
    Duration listLag = std::chrono::seconds(1);
    /// A leaving server gets no new request this long after the list says that it leaves.
    Duration drainTime = std::chrono::seconds(3);
    /// Time from the signal to stop until the process is killed.
    Duration stopGrace = std::chrono::seconds(8);
    /// Time for which an accepted declaration may not be in force yet.
    Duration inForceTime = std::chrono::seconds(2);
    /// Nothing may begin on older weights this long after newer ones were named.
    Duration weightsTime = std::chrono::seconds(6);
    /// Whether servers refuse orders with an old fencing number. Where they do not, a new holder of
    /// orders waits for the lease of the one before.
    bool checksFencing = false;
    Duration orderLease = std::chrono::seconds(3);
    /// Longest time for which callers may keep the answer that says which entries to use.
    Duration maxEntriesTtl = std::chrono::seconds(5);
    /// Sends of one request beyond its first: a ratio of the requests plus a slack, over a window
    /// and all instances together.
    double retryRatio = 0.2;
    double retrySlack = 50;
    Duration retryWindow = std::chrono::seconds(10);
    /// Tokens that customers may get beyond rate and burst in a window, over all instances
    /// together.
    double limitSlackTokens = 0;
    /// Entries: whether servers that have just started or recovered get work only as fast as they
    /// answer.
    bool pacesServers = true;
    /// Rollouts: a bad release may get this share of its service's requests and this many more, and
    /// none this long after its 50th bad answer.
    double exposureShare = 0.1;
    double exposureSlack = 50;
    Duration rollbackTime = std::chrono::seconds(5);
    /// Part of a processor that the process may use. Zero: not told.
    double processorShare = 0;
    /// Memory that the process may use.
    double memoryMb = 256;
    /// Descriptors that the process may have open.
    std::uint32_t maxDescriptors = 4096;
};

/// Everything a process learns from its file.
struct Settings
{
    Role role = Role::Entry;
    /// Unique among all instances.
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Entries: where callers connect. Control has none.
    Address callers;
    /// Where operators and probes connect.
    Address operators;
    /// Where other instances connect.
    Address link;
    /// Where those who collect metrics connect, besides operators. Port 0: nowhere.
    Address metrics;
    /// Entries: what callers and other instances are told in place of the addresses above. Port 0:
    /// those above.
    Address announcedCallers;
    Address announcedLink;
    /// Shared by all instances; a link without it is refused.
    std::string linkSecret;
    /// Relative size of the instance among the entries.
    std::uint32_t weight = 100;
    /// Control: the folder for all durable state. Entries have none.
    std::string dataFolder;
    /// Control only.
    PlatformList platformList;
    /// The control members, the own one among them if the role is control.
    std::vector<Member> members;
    /// Keyed requests are refused when the proof of freshness is older.
    Duration freshnessBound = std::chrono::seconds(5);
    /// How long callers may keep the answer that says which entries to use.
    Duration entriesTtl = std::chrono::seconds(10);
    /// Tokens in one block of a prompt prefix.
    std::uint32_t blockTokens = 4000;
    RoutingStrategy routingStrategy = RoutingStrategy::ExpectedFirstToken;
    /// Where spans are written as OTLP/JSON lines. Empty: none are written.
    std::string traceFile;
    /// "debug", "info", "warn" or "error".
    std::string logLevel = "info";
    /// Lines beyond this are dropped, those about failures last. Zero: no bound. The default is
    /// three lines for each of the 40 requests a second that the smallest entry of today serves.
    std::uint32_t logLinesPerSecond = 120;
    Bounds bounds;
    FeedRelays feedRelays;
    /// Set if the process runs on a platform.
    std::optional<Platform> platform;
};

/// Returns the address of a seed's link.
Address linkOfSeed(const Settings &settings, const Address &seed);

/// Returns the addresses at which callers and other instances reach an entry.
Address reachableCallers(const Settings &settings);
Address reachableLink(const Settings &settings);

/// Reads and checks a file. The error names file, line, field and what is allowed.
Result<Settings> readSettings(const std::string &file);

/// Reads and checks text; \p name stands for the file in errors.
Result<Settings> parseSettings(const std::string &text, const std::string &name);

} // namespace kumquathaven::settings

#endif // KUMQUATHAVEN_SETTINGS_SETTINGS_H
