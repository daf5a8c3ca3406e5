// Tests a subscriber that follows members of different lag over links with delays, in generated
// runs; and the proof tracker and the announcements of an instance.

#include "common/foreachseed.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/feed/publisher.h"
#include "kumquathaven/feed/subscriber.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::feed;

using kumquathaven::testing::forEachSeed;

namespace {

constexpr std::uint64_t runs = 400;
constexpr int stepsPerRun = 1500;
constexpr Duration step = std::chrono::milliseconds(10);

/// An accepted change and the time of its acceptance.
struct Accepted
{
    ChangeAt change;
    TimePoint acceptedAt;
};

/// A control member that applies accepted changes late, and publishes them later still.
struct Member
{
    catalogue::State state;
    std::size_t applied = 0;
    std::size_t published = 0;
    std::uint64_t position = 0;
    TimePoint provenAt;
    TimePoint epochAt;
    Publisher publisher;
};

/// One direction of a link. Messages arrive in order, none before its arrival time.
struct Pipe
{
    std::deque<std::pair<TimePoint, Message>> messages;

    void push(const Message &message, TimePoint now, Duration delay)
    {
        TimePoint at = now + delay;
        if (!messages.empty())
            at = std::max(at, messages.back().first);
        messages.emplace_back(at, message);
    }
    std::optional<Message> pop(TimePoint now)
    {
        if (messages.empty() || messages.front().first > now)
            return std::nullopt;
        Message message = messages.front().second;
        messages.pop_front();
        return message;
    }
};

/// One generated run. The members, the log and the links are simulated as plain data; only the feed
/// is under test.
class Run
{
public:
    explicit Run(std::uint64_t seed)
        : m_random(seed)
        , m_members(3)
        , m_subscriber({}, self())
    { }

    void go()
    {
        reconnect();
        for (int n = 0; n < stepsPerRun; ++n) {
            m_now += step;
            if (m_random.below(20) == 0)
                accept();
            for (Member &it : m_members)
                advance(it);
            moveMessages();
            act(m_subscriber.tick(m_now));
            if (m_random.below(300) == 0)
                reconnect();
        }
        // Without further changes, reconnections and long delays every change must arrive.
        m_isCalm = true;
        for (int n = 0; n < 1000; ++n) {
            m_now += step;
            for (Member &it : m_members)
                catchUp(it);
            moveMessages();
            act(m_subscriber.tick(m_now));
        }
        CHECK(m_view.current().catalogue->revision == m_leader.catalogue.revision);
        CHECK(m_view.current().instances->epoch == m_leader.instances.epoch);
        CHECK(catalogue::isFresh(m_view.current(), m_now, std::chrono::seconds(2)));
    }

private:
    static catalogue::Instance self()
    {
        catalogue::Instance it;
        it.name = "self";
        it.incarnation = 5;
        return it;
    }

    Duration delay()
    {
        const bool isLong = m_random.below(30) == 0 && !m_isCalm;
        return std::chrono::milliseconds(m_random.below(isLong ? 2500 : 40));
    }

    void accept()
    {
        catalogue::Change change;
        if (m_random.below(3) == 0) {
            catalogue::Instance other;
            other.name = "e" + std::to_string(m_random.below(3));
            other.incarnation = m_random.next();
            change.body = catalogue::AnnounceInstance{other};
        } else {
            catalogue::PutEntries put;
            catalogue::Customer customer;
            customer.head = {"c", "t", {}, {}};
            customer.weight = 1 + m_random.below(100);
            put.entries.customers["c"] = customer;
            change.body = put;
        }
        accept(change);
    }

    void accept(const catalogue::Change &change)
    {
        const std::uint64_t epoch = m_leader.instances.epoch;
        const catalogue::Answer answer = catalogue::apply(m_leader, change);
        // Log entries without effect occupy a position too.
        m_index += 1 + m_random.below(3);
        const bool hasEffect =
            answer.accepted && (answer.epoch != epoch || change.body.index() == 0);
        if (!hasEffect)
            return;
        m_log.push_back({{m_index, change, answer.revision, answer.epoch}, m_now});
        if (answer.epoch != epoch)
            m_epochAt = m_now;
    }

    void applyNext(Member &member)
    {
        const Accepted &next = m_log[member.applied++];
        const std::uint64_t epoch = member.state.instances.epoch;
        catalogue::apply(member.state, next.change.change);
        if (member.state.instances.epoch != epoch)
            member.epochAt = m_now;
        member.position = next.change.position;
    }

    void publishNext(Member &member)
    {
        for (const Delivery &it : member.publisher.publish(m_log[member.published++].change))
            send(member, it);
    }

    void catchUp(Member &member)
    {
        while (member.applied < m_log.size())
            applyNext(member);
        while (member.published < member.applied)
            publishNext(member);
        member.provenAt = m_now;
    }

    /// Applies and publishes some changes, and sometimes proves that the member holds all of them.
    void advance(Member &member)
    {
        while (member.applied < m_log.size() && m_random.below(4) != 0)
            applyNext(member);
        while (member.published < member.applied && m_random.below(8) == 0)
            publishNext(member);
        if (member.applied == m_log.size() && m_random.below(10) == 0)
            member.provenAt = m_now;
    }

    void send(const Member &member, const Delivery &delivery)
    {
        if (&member != &m_members[m_member])
            return;
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(message, fromFrame(delivery.frame, "member"));
                m_down.push(message, m_now, delay());
                return {};
            },
            [](const Error &error) {
                FAIL(describe(error));
            });
    }

    void moveMessages()
    {
        while (const auto message = m_up.pop(m_now))
            handleRequest(*message);
        while (const auto message = m_down.pop(m_now))
            act(m_subscriber.receive(*message, m_now));
    }

    void handleRequest(const Message &message)
    {
        Member &member = m_members[m_member];
        const std::uint64_t position = member.position;
        if (const auto *subscribe = std::get_if<Subscribe>(&message)) {
            const auto state = [&] {
                return toFrame(StateAt{position,
                                       member.state.catalogue,
                                       member.state.instances,
                                       {},
                                       m_now - member.epochAt});
            };
            for (const Delivery &it : member.publisher.subscribe(1, *subscribe, state))
                send(member, it);
        } else if (const auto *request = std::get_if<ProofRequest>(&message)) {
            if (member.provenAt != TimePoint{})
                m_down.push(Proof{request->number, position, m_now - member.provenAt}, m_now,
                            delay());
        } else if (const auto *announce = std::get_if<Announce>(&message)) {
            accept({{}, {}, catalogue::AnnounceInstance{announce->instance, announce->replaces}});
        }
    }

    void reconnect()
    {
        m_members[m_member].publisher.remove(1);
        m_up.messages.clear();
        m_down.messages.clear();
        m_member = m_random.below(m_members.size());
        m_subscriber.disconnected();
        act(m_subscriber.connected(m_now));
    }

    void act(const SubscriberEffects &effects)
    {
        if (effects.snapshot)
            check(*effects.snapshot);
        for (const Message &it : effects.messages)
            m_up.push(it, m_now, delay());
        for (const Message &it : effects.toControl)
            m_up.push(it, m_now, delay());
        if (effects.changeMember)
            reconnect();
    }

    void check(const catalogue::Snapshot &snapshot)
    {
        const catalogue::Snapshot before = m_view.current();
        m_view.offer(snapshot);
        CHECK(snapshot.catalogue->revision >= before.catalogue->revision);
        CHECK(snapshot.instances->epoch >= before.instances->epoch);
        // Every change accepted up to the time of the proof must be held.
        for (const Accepted &it : m_log) {
            if (it.acceptedAt > snapshot.provenAt)
                break;
            CHECK(it.change.revision <= snapshot.catalogue->revision);
            CHECK(it.change.epoch <= snapshot.instances->epoch);
        }
        // The epoch must never appear older than it is.
        if (snapshot.instances->epoch == m_leader.instances.epoch && snapshot.instances->epoch > 0)
            CHECK(snapshot.epochSince >= m_epochAt);
    }

    Random m_random;
    TimePoint m_now{std::chrono::seconds(1000)};
    catalogue::State m_leader;
    std::uint64_t m_index = 0;
    bool m_isCalm = false;
    TimePoint m_epochAt;
    std::vector<Accepted> m_log;
    std::vector<Member> m_members;
    std::size_t m_member = 0;
    Pipe m_up;
    Pipe m_down;
    Subscriber m_subscriber;
    catalogue::View m_view;
};

} // namespace

TEST_CASE(
    "generated runs: positions never move back, proofs cover what is held, and all changes arrive")
{
    forEachSeed(runs, [](std::uint64_t seed) {
        CAPTURE(seed);
        Run(seed).go();
    });
}

TEST_CASE("the age of a proof counts from the sending of the request")
{
    const TimePoint start(std::chrono::seconds(10));
    ProofTracker tracker;
    const std::uint64_t number = tracker.request(start);
    tracker.answer(number, 7, std::chrono::seconds(2));
    CHECK(tracker.provenAt() == TimePoint{});
    tracker.advanceTo(6);
    CHECK(tracker.provenAt() == TimePoint{});
    tracker.advanceTo(7);
    CHECK(tracker.provenAt() == start - std::chrono::seconds(2));
    tracker.answer(number, 7, Duration(0));
    CHECK(tracker.provenAt() == start - std::chrono::seconds(2));
}

TEST_CASE("a member that is behind does not move a subscriber back")
{
    const TimePoint start(std::chrono::seconds(10));
    Subscriber subscriber({}, {});
    subscriber.connected(start);
    StateAt state;
    state.position = 5;
    state.catalogue.revision = 2;
    const auto first = subscriber.receive(state, start);
    REQUIRE(first.snapshot.has_value());
    CHECK(first.snapshot->catalogue->revision == 2);
    const auto again = subscriber.connected(start);
    REQUIRE(!again.messages.empty());
    CHECK(std::get<Subscribe>(again.messages.front()).position == 5);
    state.position = 3;
    state.catalogue.revision = 1;
    CHECK_FALSE(subscriber.receive(state, start).snapshot.has_value());
    catalogue::PutEntries put;
    put.entries.customers["c"].head.name = "c";
    CHECK_FALSE(subscriber.receive(ChangeAt{4, {{}, {}, put}, 2, 0}, start).snapshot.has_value());
    CHECK(subscriber.position() == 5);
    // A change that does not fit the held state leads to a request for the complete state.
    const auto gap = subscriber.receive(ChangeAt{9, {{}, {}, put}, 4, 0}, start);
    REQUIRE(gap.messages.size() == 1);
    CHECK(std::get<Subscribe>(gap.messages.front()).position == 0);
    CHECK_FALSE(gap.snapshot.has_value());
    CHECK(subscriber.receive(ChangeAt{9, {{}, {}, put}, 3, 0}, start).snapshot.has_value());
}

TEST_CASE("an instance announces itself until it is listed as announced, and again when it changes")
{
    const TimePoint start(std::chrono::seconds(10));
    catalogue::Instance self;
    self.name = "e";
    Subscriber subscriber({}, self);
    const auto announced = [](const SubscriberEffects &effects) {
        for (const Message &it : effects.toControl) {
            if (std::holds_alternative<Announce>(it))
                return true;
        }
        return false;
    };
    CHECK(announced(subscriber.connected(start)));
    CHECK_FALSE(announced(subscriber.tick(start + std::chrono::milliseconds(900))));
    CHECK(announced(subscriber.tick(start + std::chrono::milliseconds(1000))));
    StateAt state;
    state.position = 3;
    state.instances.epoch = 1;
    state.instances.entries["e"] = self;
    subscriber.receive(state, start + std::chrono::milliseconds(1010));
    CHECK_FALSE(announced(subscriber.tick(start + std::chrono::milliseconds(2100))));
    self.state = catalogue::InstanceState::Serving;
    subscriber.announce(self);
    CHECK(announced(subscriber.tick(start + std::chrono::milliseconds(2110))));
    state.position = 4;
    state.instances.epoch = 2;
    state.instances.entries["e"].state = catalogue::InstanceState::Leaving;
    state.drained = {"e"};
    subscriber.receive(state, start + std::chrono::milliseconds(2120));
    CHECK(subscriber.isDrained());
    CHECK_FALSE(announced(subscriber.tick(start + std::chrono::milliseconds(3500))));
}

TEST_CASE("of two processes with one name the later one serves and the other never comes back")
{
    TimePoint now(std::chrono::seconds(10));
    const auto process = [](std::uint64_t incarnation) {
        catalogue::Instance self;
        self.name = "e";
        self.incarnation = incarnation;
        return self;
    };
    std::vector<Subscriber> subscribers;
    subscribers.emplace_back(SubscriberTimes(), process(7));
    catalogue::State control;
    std::uint64_t position = 1;
    // In each turn, every process may announce itself and then receives the state that control
    // holds.
    const auto turn = [&] {
        now += std::chrono::milliseconds(1100);
        for (Subscriber &it : subscribers) {
            for (const Message &message : it.connected(now).toControl) {
                if (const auto *announce = std::get_if<Announce>(&message))
                    catalogue::apply(
                        control,
                        {{},
                         {},
                         catalogue::AnnounceInstance{announce->instance, announce->replaces}});
            }
        }
        ++position;
        for (Subscriber &it : subscribers)
            it.receive(StateAt{position, {}, control.instances, {}, Duration(0)}, now);
    };
    turn();
    CHECK_FALSE(subscribers[0].isReplaced());
    subscribers.emplace_back(SubscriberTimes(), process(3));
    turn();
    turn();
    CHECK(subscribers[0].isReplaced());
    CHECK_FALSE(subscribers[1].isReplaced());
    CHECK(control.instances.entries.at("e").incarnation == 3);
    // The replaced process announces a change of its state.
    subscribers[0].announce(process(7));
    const std::uint64_t epoch = control.instances.epoch;
    for (int n = 0; n < 5; ++n)
        turn();
    CHECK(control.instances.epoch == epoch);
    CHECK(subscribers[0].isReplaced());
    CHECK_FALSE(subscribers[1].isReplaced());
    // A drain applies to the process that holds the name.
    const std::set<std::string> drained{"e"};
    for (Subscriber &it : subscribers)
        it.receive(StateAt{position + 1, {}, control.instances, drained, Duration(0)}, now);
    CHECK_FALSE(subscribers[0].isDrained());
    CHECK(subscribers[1].isDrained());
    // A delayed announcement, sent before the second process replaced the first, has no effect.
    CHECK_FALSE(
        catalogue::apply(control, {{}, {}, catalogue::AnnounceInstance{process(7), 0}}).accepted);
}

// Guards against control members and relays that fill their memory with past changes.
TEST_CASE("changes retained for subscribers are bounded by bytes and by their number")
{
    struct Row
    {
        std::size_t changeBytes;
        std::size_t changes;
        /// A smaller state would be sent in place of changes that are retained.
        std::size_t stateBytes;
    };
    for (const Row &row :
         {Row{10, 3 * maxRetainedChanges, 300'000}, Row{100'000, 300, maxRetainedBytes},
          Row{1'000'000, 30, maxRetainedBytes}, Row{2 * maxRetainedBytes, 3, maxRetainedBytes}}) {
        CAPTURE(row.changeBytes);
        Publisher publisher;
        publisher.restart(1);
        wire::Frame wholeState{wire::Channel::Feed, "state", std::string(row.stateBytes, ' ')};
        const auto stateFrame = [&] {
            return wholeState;
        };
        for (std::size_t n = 0; n < row.changes; ++n) {
            // Each text has no part of the one before, so that the difference is as large as it is.
            std::string text(row.changeBytes, n % 2 == 0 ? 'x' : 'y');
            catalogue::Declare body;
            body.declaration.version = n + 1;
            body.declaration.text = std::make_shared<const std::string>(std::move(text));
            static_cast<void>(publisher.publish({n + 2, {{}, {}, body}, n + 1, 0}));
            CHECK(publisher.retainedBytes() <= maxRetainedBytes);
        }
        // A subscriber from any earlier position gets all changes after it, or the state.
        for (std::uint64_t position = 1; position <= row.changes + 1; ++position) {
            const auto sent = publisher.subscribe(7, {position, false, true}, stateFrame);
            const std::size_t missed = row.changes + 1 - position;
            const bool isState = sent.size() == 1 && sent.front().frame.kind == "state";
            CHECK((isState || sent.size() == missed));
            CHECK((isState || missed * row.changeBytes <= maxRetainedBytes));
            CHECK((isState || missed <= maxRetainedChanges));
            // What fits into both bounds is retained.
            const bool fits = missed * (row.changeBytes + 100) <= maxRetainedBytes
                && missed <= maxRetainedChanges;
            CHECK((!isState || !fits));
        }
    }
}
