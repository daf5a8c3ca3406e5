#include "fleet.h"

#include "kumquathaven/limits/codec.h"

#include <algorithm>

namespace kumquathaven::limits {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(5);
constexpr Duration proofInterval = std::chrono::milliseconds(500);
constexpr Duration feedDelay = std::chrono::milliseconds(150);
constexpr std::size_t domains = 4;
/// How long a departed process may still act: the sum of the freshness bound, a session's life and
/// the margins for clock drift.
constexpr Duration departedProcessLifetime = std::chrono::milliseconds(7300);

std::string nameOfEntry(std::size_t entry)
{
    return "entry" + std::to_string(entry);
}

} // namespace

Fleet::Fleet(std::uint64_t seed, std::size_t entries, std::map<std::string, BucketLimits> limits,
             Config config)
    : random(seed)
    , m_now(std::chrono::seconds(1000))
    , m_config(config)
    , m_machines(entries)
    , m_limits(std::move(limits))
{
    for (std::size_t i = 0; i < entries; ++i) {
        m_machines[i].clockOffset = std::chrono::seconds(random.below(500));
        m_machines[i].name = nameOfEntry(i);
        move(i);
        m_byName[nameOfEntry(i)] = i;
        start(i);
    }
}

std::size_t Fleet::entryNamed(const std::string &name) const
{
    return m_byName.at(name);
}

void Fleet::at(TimePoint time, std::function<void()> action)
{
    m_events.push({time, ++m_order, std::move(action)});
}

void Fleet::run(TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

void Fleet::onEntry(std::size_t entry, std::uint64_t incarnation,
                    std::function<void(Machine &)> action)
{
    Machine &machine = m_machines[entry];
    if (!machine.node || machine.incarnation != incarnation)
        return;
    if (m_now < machine.frozenUntil) {
        at(machine.frozenUntil, [this, entry, incarnation, action = std::move(action)] {
            onEntry(entry, incarnation, action);
        });
        return;
    }
    action(machine);
}

void Fleet::send(std::size_t from, const Envelope &envelope)
{
    ++messages;
    if (countsBytes)
        bytes += encodeMessages({envelope.message}).size();
    const std::size_t to = entryNamed(envelope.to);
    if (random.uniform() < network.loss)
        return;
    const int copies = random.uniform() < network.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto spread =
            static_cast<std::uint64_t>((network.maxDelay - network.minDelay).count()) + 1;
        Duration delay = network.minDelay + Duration(random.below(spread));
        if (random.uniform() < network.late)
            delay += Duration(random.below(static_cast<std::uint64_t>(network.lateness.count())));
        const std::uint64_t incarnation = m_machines[to].incarnation;
        at(m_now + delay, [this, from, to, incarnation, message = envelope.message] {
            deliver(from, to, incarnation, message);
        });
    }
}

void Fleet::deliver(std::size_t from, std::size_t to, std::uint64_t incarnation,
                    const Message &message)
{
    if (m_now < m_machines[from].cutUntil || m_now < m_machines[to].cutUntil)
        return;
    if ((m_now < m_machines[from].partitionedUntil) != (m_now < m_machines[to].partitionedUntil))
        return;
    onEntry(to, incarnation, [this, from, to, message](Machine &machine) {
        Effects effects;
        handleMessage(*machine.node, m_machines[from].name, message, localTime(machine), effects);
        handleEffects(to, effects);
    });
}

void Fleet::handleEffects(std::size_t entry, Effects &effects)
{
    Machine &machine = m_machines[entry];
    for (const Envelope &it : effects.messages)
        send(entry, it);
    for (const Resolution &it : effects.resolutions) {
        const auto waiting = machine.waiting.find(it.reservation);
        if (waiting == machine.waiting.end())
            continue;
        const Running running = waiting->second;
        machine.waiting.erase(waiting);
        if (!it.refusal) {
            admit(entry, it.reservation, running);
            continue;
        }
        ++tallies[running.bucket].refused;
        refusals.push_back(*it.refusal);
    }
}

void Fleet::admit(std::size_t entry, std::uint64_t reservation, const Running &running)
{
    Tally &tally = tallies[running.bucket];
    ++tally.admitted;
    tally.tokens += static_cast<double>(running.used);
    tally.spends.push_back({m_now, static_cast<double>(running.used)});
    startRun(*m_machines[entry].node, reservation);
    const std::uint64_t incarnation = m_machines[entry].incarnation;
    at(m_now + running.length, [this, entry, incarnation, reservation, used = running.used] {
        onEntry(entry, incarnation, [this, entry, reservation, used](Machine &machine) {
            Effects effects;
            settle(*machine.node, reservation, used, localTime(machine), effects);
            handleEffects(entry, effects);
        });
    });
}

void Fleet::request(std::size_t entry, const std::string &bucket, const Cost &cost,
                    std::uint64_t used, Duration length)
{
    const std::uint64_t tokens = cost.total();
    Machine &machine = m_machines[entry];
    if (!machine.node || m_now < machine.frozenUntil)
        return;
    Tally &tally = tallies[bucket];
    ++tally.requested;
    arrivals.push_back({m_now, entry, bucket, cost, used, length});
    const BucketLimits &limits = m_limits.at(bucket);
    ReferenceBucket &reference =
        m_reference.try_emplace(bucket, ReferenceBucket{limits.burst, m_now}).first->second;
    reference.level =
        std::min(limits.burst, reference.level + limits.rate * toSeconds(m_now - reference.at));
    reference.at = m_now;
    if (reference.level >= static_cast<double>(tokens)) {
        reference.level -= static_cast<double>(tokens);
        tally.referenceTokens += static_cast<double>(used);
        at(m_now + length, [&reference, rest = static_cast<double>(tokens - used)] {
            reference.level += rest;
        });
    } else {
        ++tally.refusedByReference;
    }
    Effects effects;
    const Decision decision =
        reserve(*machine.node, {{bucket, limits}}, cost, localTime(machine), effects);
    const Running running{bucket, used, length};
    if (decision.kind == Decision::Kind::Waiting)
        machine.waiting.emplace(decision.reservation, running);
    if (decision.kind == Decision::Kind::Admitted)
        admit(entry, decision.reservation, running);
    if (decision.kind == Decision::Kind::Refused) {
        ++tally.refused;
        refusals.push_back(*decision.refusal);
    }
    handleEffects(entry, effects);
}

void Fleet::change(const catalogue::ChangeBody &body)
{
    const catalogue::Instances before = m_control.instances;
    catalogue::apply(m_control, {{}, {}, body});
    if (m_control.instances.epoch != before.epoch)
        publish();
    if (m_control.instances.departures == before.departures)
        return;
    at(m_now + departedProcessLifetime, [this, ended = m_control.instances.departures] {
        m_endedDepartures = ended;
    });
}

void Fleet::publish()
{
    const auto instances = std::make_shared<const catalogue::Instances>(m_control.instances);
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        const Duration delay(random.below(static_cast<std::uint64_t>(feedDelay.count())));
        at(m_now + delay, [this, i, instances, limits = m_limits] {
            applyInstances(i, instances, limits);
        });
    }
}

void Fleet::applyInstances(std::size_t entry,
                           const std::shared_ptr<const catalogue::Instances> &instances,
                           const std::map<std::string, BucketLimits> &limits)
{
    Machine &machine = m_machines[entry];
    if (m_now < machine.cutFromControlUntil || !machine.node)
        return;
    onEntry(entry, machine.incarnation, [this, entry, instances, limits](Machine &it) {
        if (it.instances && it.instances->epoch > instances->epoch)
            return;
        it.instances = instances;
        it.limits = limits;
        it.provenAt = localTime(it);
        Effects effects;
        configure(*it.node, instances, limits, it.provenAt, localTime(it), effects);
        handleEffects(entry, effects);
    });
}

void Fleet::scheduleProof(std::size_t entry, std::uint64_t incarnation)
{
    at(m_now + proofInterval, [this, entry, incarnation] {
        if (!m_machines[entry].node || m_machines[entry].incarnation != incarnation)
            return;
        // The proof holds for the time at which control issues it, however late the entry handles
        // it.
        const TimePoint provenAt = localTime(m_machines[entry]);
        const auto instances = std::make_shared<const catalogue::Instances>(m_control.instances);
        const bool cut = m_now < m_machines[entry].cutFromControlUntil;
        if (!cut)
            onEntry(entry, incarnation,
                    [this, entry, provenAt, instances, limits = m_limits](Machine &it) {
                        if (it.instances && it.instances->epoch > instances->epoch)
                            return;
                        it.provenAt = provenAt;
                        it.instances = instances;
                        Effects effects;
                        configure(*it.node, instances, limits, provenAt, localTime(it), effects);
                        handleEffects(entry, effects);
                    });
        scheduleProof(entry, incarnation);
    });
}

void Fleet::scheduleTick(std::size_t entry, std::uint64_t incarnation)
{
    at(m_now + tickInterval, [this, entry, incarnation] {
        onEntry(entry, incarnation, [this, entry, incarnation](Machine &machine) {
            Effects effects;
            tick(*machine.node, localTime(machine), effects);
            handleEffects(entry, effects);
            scheduleTick(entry, incarnation);
        });
    });
}

void Fleet::crash(std::size_t entry, Duration detectionDelay)
{
    Machine &machine = m_machines[entry];
    machine.node.reset();
    machine.waiting.clear();
    machine.frozenUntil = {};
    const std::uint64_t incarnation = machine.incarnation;
    at(m_now + detectionDelay, [this, entry, incarnation] {
        change(catalogue::DepartInstance{m_machines[entry].name, incarnation});
    });
}

catalogue::Instance Fleet::instanceOf(std::size_t entry) const
{
    catalogue::Instance instance;
    instance.name = m_machines[entry].name;
    instance.failureDomain = "domain" + std::to_string(entry % domains);
    instance.incarnation = m_machines[entry].incarnation;
    instance.place = m_machines[entry].place;
    return instance;
}

void Fleet::start(std::size_t entry)
{
    Machine &machine = m_machines[entry];
    machine.incarnation = random.next() >> 1;
    machine.node = std::make_unique<Node>(makeNode(machine.name, machine.incarnation, m_config));
    machine.instances.reset();
    machine.provenAt = {};
    change(catalogue::AnnounceInstance{instanceOf(entry), {}, m_endedDepartures});
    scheduleTick(entry, machine.incarnation);
    scheduleProof(entry, machine.incarnation);
}

std::size_t Fleet::startTwin(std::size_t entry)
{
    const std::size_t twin = m_machines.size();
    m_machines.emplace_back();
    m_machines[twin].name = m_machines[entry].name;
    move(twin);
    m_machines[twin].clockOffset = std::chrono::seconds(random.below(500));
    m_byName[m_machines[twin].name] = twin;
    start(twin);
    return twin;
}

void Fleet::freeze(std::size_t entry, Duration length)
{
    m_machines[entry].frozenUntil = m_now + length;
}

void Fleet::cutOff(std::size_t entry, Duration length, bool fromControl)
{
    m_machines[entry].cutUntil = m_now + length;
    if (fromControl)
        m_machines[entry].cutFromControlUntil = m_now + length;
}

void Fleet::partition(const std::set<std::size_t> &inside, Duration length, Duration detectionDelay)
{
    for (const std::size_t entry : inside) {
        m_machines[entry].partitionedUntil = m_now + length;
        m_machines[entry].cutFromControlUntil = m_now + length;
    }
    const auto announceOrDepart = [this, inside](bool present) {
        for (const std::size_t entry : inside) {
            const Machine &machine = m_machines[entry];
            if (present && machine.node)
                change(catalogue::AnnounceInstance{instanceOf(entry), {}, m_endedDepartures});
            else
                change(catalogue::DepartInstance{machine.name, machine.incarnation});
        }
    };
    if (detectionDelay >= length)
        return;
    at(m_now + detectionDelay, [announceOrDepart] {
        announceOrDepart(false);
    });
    at(m_now + length, [announceOrDepart] {
        announceOrDepart(true);
    });
}

void Fleet::addBucket(const std::string &bucket, const BucketLimits &limits)
{
    m_limits[bucket] = limits;
}

std::size_t Fleet::homesOf(const std::string &bucket) const
{
    std::size_t homes = 0;
    for (const Machine &it : m_machines) {
        if (!it.node)
            continue;
        const auto found = it.node->keeper.buckets.find(bucket);
        if (found != it.node->keeper.buckets.end() && found->second.role == Bucket::Role::Home)
            ++homes;
    }
    return homes;
}

std::optional<std::size_t> Fleet::homeOf(const std::string &bucket) const
{
    std::optional<std::size_t> home;
    Term newest;
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        if (!m_machines[i].node)
            continue;
        const auto &buckets = m_machines[i].node->keeper.buckets;
        const auto it = buckets.find(bucket);
        if (it == buckets.end() || it->second.role != Bucket::Role::Home
            || it->second.term < newest)
            continue;
        newest = it->second.term;
        home = i;
    }
    return home;
}

double Fleet::tokensOverLimit() const
{
    double excess = 0;
    for (const auto &[bucket, tally] : tallies)
        excess = std::max(excess, maxExcessTokens(tally.spends, m_limits.at(bucket)));
    return excess;
}

} // namespace kumquathaven::limits
