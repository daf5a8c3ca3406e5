// A deterministic simulation of several nodes under one clock, with a seed for message delays and
// faults, crashes, restarts and partitions.

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

/// Delays and faults of the messages between entries. Probabilities are from 0 to 1.
struct Network
{
    Duration minDelay = std::chrono::microseconds(300);
    Duration maxDelay = std::chrono::microseconds(1200);
    double loss = 0;
    double duplication = 0;
    /// Share of the messages that arrive late, by up to lateness.
    double late = 0;
    Duration lateness = std::chrono::seconds(3);
};

/// Counts of a customer's requests by outcome.
struct Tally
{
    std::uint64_t requested = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double tokens = 0;
    /// Requests that the reference bucket refused.
    std::uint64_t refusedByReference = 0;
    /// Tokens used by the requests that the reference bucket admitted.
    double referenceTokens = 0;
    std::vector<Spend> spends;
};

/// A request as it arrived at an entry.
struct Arrival
{
    TimePoint at{};
    std::size_t entry = 0;
    std::string bucket;
    Cost cost;
    std::uint64_t used = 0;
    Duration length{};
};

/// An exact bucket for the whole fleet that decides without delay. Refusals are compared with it.
struct ReferenceBucket
{
    double level = 0;
    TimePoint at{};
};

/// A simulated fleet of nodes under one clock. Each node sees that clock with an offset of its own.
class Fleet
{
public:
    Fleet(std::uint64_t seed, std::size_t entries, std::map<std::string, BucketLimits> limits,
          Config config);

    Network network;
    Random random;
    std::map<std::string, Tally> tallies;
    std::uint64_t messages = 0;
    /// Whether to count the bytes of the messages, each encoded alone.
    bool countsBytes = false;
    std::uint64_t bytes = 0;
    std::vector<Error> refusals;
    std::vector<Arrival> arrivals;

    TimePoint now() const { return m_now; }
    /// Runs until \p end. Events at the same time happen in the order in which they were added.
    void run(TimePoint end);
    /// Schedules \p action for \p time.
    void at(TimePoint time, std::function<void()> action);

    /// Sends \p entry a request that reserves \p cost and uses \p used tokens. If it is admitted it
    /// ends after \p length.
    void request(std::size_t entry, const std::string &bucket, const Cost &cost, std::uint64_t used,
                 Duration length);

    /// Crashes an entry, which loses its state. Control detects this after \p detectionDelay.
    void crash(std::size_t entry, Duration detectionDelay);
    /// Restarts an entry as a new incarnation at the same place.
    void start(std::size_t entry);
    /// Moves the entry's next start to a new place, which proves nothing about its earlier
    /// processes.
    void move(std::size_t entry) { m_machines[entry].place = ++m_lastPlace; }
    /// Starts a second process under the entry's name while the old one keeps running. Control and
    /// the other entries then take the name for the new process. Returns the new process's index.
    std::size_t startTwin(std::size_t entry);
    /// Suspends the process. When it resumes it handles all messages received in the meantime.
    void freeze(std::size_t entry, Duration length);
    /// Drops all messages to and from the entry. With \p fromControl it receives no changes and no
    /// freshness proofs either.
    void cutOff(std::size_t entry, Duration length, bool fromControl);
    /// Separates the entries in \p inside from the others and from control, which detects this
    /// after \p detectionDelay. Callers still reach both sides.
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
    /// Returns the entry that acts as the bucket's home, if there is one. Of several it returns the
    /// one with the largest term.
    std::optional<std::size_t> homeOf(const std::string &bucket) const;
    std::size_t homesOf(const std::string &bucket) const;
    const Node &node(std::size_t entry) const { return *m_machines[entry].node; }
    /// Returns the largest number of tokens by which any customer's spending exceeds its limit.
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
    /// The index of the machine that messages to a name reach.
    std::map<std::string, std::size_t> m_byName;
    std::map<std::string, BucketLimits> m_limits;
    std::map<std::string, ReferenceBucket> m_reference;
    catalogue::State m_control;
    std::uint64_t m_endedDepartures = 0;
    std::uint64_t m_lastPlace = 0;
};

/// A customer's load on a fleet. Requests arrive at random times. Most of them go to one entry,
/// which changes every few seconds.
struct Load
{
    std::string bucket;
    /// Tokens a second that requests use on average.
    double tokensPerSecond = 0;
    std::uint64_t maxPrompt = 2000;
    std::uint64_t maxOutput = 1000;
    Duration maxLength = std::chrono::seconds(4);
    /// Whether requests use all the tokens that they reserve.
    bool exact = false;
    /// If this is not zero all requests arrive in the first fifth of each period.
    Duration period{};
};

/// Sends a load to a fleet until \p end.
void drive(Fleet &fleet, const Load &load, TimePoint end);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_UNITTESTS_LIMITS_FLEET_H
