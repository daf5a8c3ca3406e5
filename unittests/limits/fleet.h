// Seeded interleavings of several nodes: messages with delays and faults, entries that come and go.

#ifndef KUMQUATHAVEN_UNITTESTS_LIMITS_FLEET_H
#define KUMQUATHAVEN_UNITTESTS_LIMITS_FLEET_H

#include "historycheck.h"

#include "kumquathaven/base/random.h"
#include "kumquathaven/catalogue/state.h"
#include "kumquathaven/limits/node.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::limits {

/// How messages between entries travel.
struct Network
{
    Duration minDelay = std::chrono::microseconds(300);
    Duration maxDelay = std::chrono::microseconds(1200);
    double loss = 0;
    double duplication = 0;
    /// Share of messages that are late by up to lateness.
    double late = 0;
    Duration lateness = std::chrono::seconds(3);
};

/// What became of a customer's requests.
struct Tally
{
    std::uint64_t requested = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double tokens = 0;
    /// Requests that one exact bucket for the whole fleet refused.
    std::uint64_t refusedByReference = 0;
    double referenceTokens = 0;
    std::vector<Spend> spends;
};

/// A request as it came to an entry.
struct Arrival
{
    TimePoint at{};
    std::size_t entry = 0;
    std::string bucket;
    Cost cost;
    std::uint64_t used = 0;
    Duration length{};
};

/// One exact bucket asked without delay, against which refusals are judged.
struct ReferenceBucket
{
    double level = 0;
    TimePoint at{};
};

/// A fleet of nodes under one clock. Each node sees that clock with an offset of its own.
class Fleet
{
public:
    Fleet(std::uint64_t seed, std::size_t entries, std::map<std::string, BucketLimits> limits,
          Config config);

    Network network;
    Random random;
    std::map<std::string, Tally> tallies;
    std::uint64_t messages = 0;
    /// Bytes of the messages, each encoded alone. Counted only if it is asked for.
    bool countsBytes = false;
    std::uint64_t bytes = 0;
    std::vector<Error> refusals;
    std::vector<Arrival> arrivals;

    TimePoint now() const { return m_now; }
    /// Runs until \p end; events at the same time happen in the order they were added.
    void run(TimePoint end);
    void at(TimePoint time, std::function<void()> action);

    /// Asks \p entry to admit a request that reserves \p cost and uses \p used of them. A
    /// request that is admitted ends after \p length.
    void request(std::size_t entry, const std::string &bucket, const Cost &cost, std::uint64_t used,
                 Duration length);

    /// The entry's memory is gone. Control notices after \p noticed.
    void crash(std::size_t entry, Duration detectionDelay);
    /// Starts an entry again as a new incarnation at the same place.
    void start(std::size_t entry);
    /// The entry's next start is at a place that proves nothing of its earlier processes.
    void move(std::size_t entry) { m_machines[entry].place = ++m_lastPlace; }
    /// Starts a second process under the entry's name. Control and the other entries know the name
    /// as the new one's; the old one goes on. Returns the new one's number.
    std::size_t startTwin(std::size_t entry);
    /// The process stands still and wakes with all its messages waiting.
    void freeze(std::size_t entry, Duration length);
    /// No message to or from the entry arrives, and no proof of freshness.
    void cutOff(std::size_t entry, Duration length, bool fromControl);
    /// Parts the entries that \p inside names from the others and from control, which notices after
    /// \p noticed. Callers still reach both sides.
    void partition(const std::set<std::size_t> &inside, Duration length, Duration detectionDelay);
    /// Adds a customer while the fleet runs.
    void addBucket(const std::string &bucket, const BucketLimits &limits);

    std::size_t entryCount() const { return m_machines.size(); }
    /// Returns whether callers reach the entry.
    bool isUp(std::size_t entry) const
    {
        const Machine &machine = m_machines[entry];
        return machine.node && m_now >= machine.frozenUntil && m_now >= machine.cutUntil;
    }
    bool isRunning(std::size_t entry) const { return m_machines[entry].node != nullptr; }
    /// The entry that acts as the bucket's home, if there is one.
    std::optional<std::size_t> homeOf(const std::string &bucket) const;
    std::size_t homesOf(const std::string &bucket) const;
    const Node &node(std::size_t entry) const { return *m_machines[entry].node; }
    /// The largest number of tokens over the limit of any customer.
    double tokensOverLimit() const;

private:
    struct Running
    {
        std::string bucket;
        std::uint64_t used = 0;
        Duration length{};
    };
    struct Machine
    {
        std::unique_ptr<Node> node;
        std::string name;
        std::uint64_t incarnation = 0;
        std::uint64_t place = 0;
        Duration clockOffset{};
        TimePoint frozenUntil{};
        TimePoint cutUntil{};
        TimePoint cutFromControlUntil{};
        TimePoint partitionedUntil{};
        TimePoint provenAt{};
        std::shared_ptr<const catalogue::Instances> instances;
        std::map<std::string, BucketLimits> limits;
        std::map<std::uint64_t, Running> waiting;
    };
    struct Event
    {
        TimePoint time{};
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct IsLater
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.time != b.time ? a.time > b.time : a.order > b.order;
        }
    };

    TimePoint localTime(const Machine &machine) const { return m_now + machine.clockOffset; }
    catalogue::Instance instanceOf(std::size_t entry) const;
    std::size_t entryNamed(const std::string &name) const;
    void handleEffects(std::size_t entry, Effects &effects);
    void send(std::size_t from, const Envelope &envelope);
    void deliver(std::size_t from, std::size_t to, std::uint64_t incarnation,
                 const Message &message);
    void onEntry(std::size_t entry, std::uint64_t incarnation,
                 std::function<void(Machine &)> action);
    void admit(std::size_t entry, std::uint64_t reservation, const Running &running);
    void change(const catalogue::ChangeBody &body);
    void publish();
    void applyInstances(std::size_t entry,
                        const std::shared_ptr<const catalogue::Instances> &instances,
                        const std::map<std::string, BucketLimits> &limits);
    void scheduleTick(std::size_t entry, std::uint64_t incarnation);
    void scheduleProof(std::size_t entry, std::uint64_t incarnation);

    TimePoint m_now;
    std::uint64_t m_order = 0;
    Config m_config;
    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    std::vector<Machine> m_machines;
    /// The machine that messages to a name reach.
    std::map<std::string, std::size_t> m_byName;
    std::map<std::string, BucketLimits> m_limits;
    std::map<std::string, ReferenceBucket> m_reference;
    catalogue::State m_control;
    std::uint64_t m_endedDepartures = 0;
    std::uint64_t m_lastPlace = 0;
};

/// Sends a load to a fleet: customers ask at random times through entries of which one, which
/// changes every few seconds, gets most of the work.
struct Load
{
    std::string bucket;
    /// Tokens a second that requests use on average.
    double tokensPerSecond = 0;
    std::uint64_t maxPrompt = 2000;
    std::uint64_t maxOutput = 1000;
    Duration maxLength = std::chrono::seconds(4);
    /// Requests use all that they reserve.
    bool exact = false;
    /// All requests come in the first fifth of each period. Zero: they come at any time.
    Duration period{};
};

void drive(Fleet &fleet, const Load &load, TimePoint end);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_UNITTESTS_LIMITS_FLEET_H
