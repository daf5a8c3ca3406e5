#include "samples.h"

#include "kumquathaven/catalogue/view.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;

TEST_CASE("one of two changes with the same expected revision is accepted, the other is answered "
          "with the present one")
{
    State state;
    Change first = putCustomer("a", "x");
    Change second = putCustomer("b", "y");
    first.expectedRevision = 0;
    second.expectedRevision = 0;
    CHECK(apply(state, first).accepted);
    const Answer lost = apply(state, second);
    CHECK_FALSE(lost.accepted);
    CHECK(lost.code == ErrorCode::Conflict);
    CHECK(lost.revision == 1);
    CHECK(lost.message == "expected revision 0, but the present revision is 1");
    CHECK(state.catalogue.customers.count("y") == 0);
}

TEST_CASE("a change sent again gets its first answer and counts once")
{
    State state;
    const Change change = putCustomer("a", "x");
    const Answer first = apply(state, change);
    CHECK(apply(state, putCustomer("b", "x", 7)).revision == 2);
    const Answer again = apply(state, change);
    CHECK(again.accepted);
    CHECK(again.revision == first.revision);
    CHECK(state.catalogue.customers["x"].weight == 7);
    CHECK(state.catalogue.revision == 2);
    SUBCASE("also a refusal")
    {
        const Change removal{"c", {}, RemoveEntry{EntryKind::Route, "r"}};
        CHECK(apply(state, removal).code == ErrorCode::NotFound);
        PutEntries put;
        put.entries.routes["r"] = sampleRoute("r", "m");
        CHECK(apply(state, {"d", {}, put}).accepted);
        CHECK(apply(state, removal).code == ErrorCode::NotFound);
        CHECK(state.catalogue.routes.count("r") == 1);
    }
    SUBCASE("but not another change under the same id")
    {
        CHECK(apply(state, putCustomer("a", "other")).code == ErrorCode::Conflict);
        CHECK(state.catalogue.customers.count("other") == 0);
    }
    SUBCASE("also after a snapshot")
    {
        State copy = orElse(
            [&] {
                return decodeState(encodeState(state), "test");
            },
            [](const Error &error) {
                FAIL(describe(error));
                return State();
            });
        CHECK(apply(copy, change).revision == first.revision);
        CHECK(copy.catalogue.revision == 2);
    }
}

TEST_CASE("the number of change ids kept is bounded, and the newest are kept")
{
    State state;
    for (std::size_t n = 0; n < maxRecordedAnswers + 10; ++n)
        CHECK(apply(state, putCustomer(std::to_string(n), "x")).accepted);
    CHECK(state.answerHistory.answers.size() == maxRecordedAnswers);
    CHECK(state.answerHistory.order.size() == maxRecordedAnswers);
    const std::uint64_t revision = state.catalogue.revision;
    CHECK(apply(state, putCustomer(std::to_string(10), "x")).revision == 11);
    CHECK(state.catalogue.revision == revision);
}

TEST_CASE("a withdrawn key stays withdrawn")
{
    State state;
    apply(state, putCustomer("1", "x"));
    const Key key = sampleKey("k", "x", 'a');
    CHECK(apply(state, {"2", {}, GrantKey{key}}).accepted);
    CHECK(apply(state, {"3", {}, GrantKey{key}}).code == ErrorCode::Conflict);
    CHECK(apply(state, {"4", {}, WithdrawKey{"k", true}}).accepted);
    CHECK(state.catalogue.keys["k"].withdrawn);
    CHECK(state.catalogue.keys["k"].cutsStreams);
    PutEntries oldFile;
    oldFile.entries.keys["k"] = key;
    CHECK(apply(state, {"5", {}, oldFile}).code == ErrorCode::Conflict);
    PutEntries otherName;
    otherName.entries.keys["l"] = sampleKey("l", "x", 'a');
    CHECK(apply(state, {"6", {}, otherName}).code == ErrorCode::Conflict);
    CHECK(state.catalogue.keys["k"].withdrawn);
}

TEST_CASE("a put is atomic, and replacing keeps the keys")
{
    State state;
    PutEntries put;
    put.entries.customers["x"] = sampleCustomer("x");
    put.entries.customers["y"] = sampleCustomer("y");
    put.entries.keys["k"] = sampleKey("k", "x", 'a');
    put.entries.upstreams["e"] = sampleUpstream("e");
    CHECK(apply(state, {"1", {}, put}).accepted);
    PutEntries bad = put;
    bad.entries.customers["z"] = sampleCustomer("z");
    bad.entries.keys["q"] = sampleKey("q", "nobody", 'b');
    CHECK(apply(state, {"2", {}, bad}).code == ErrorCode::InvalidRequest);
    CHECK(state.catalogue.customers.count("z") == 0);
    CHECK(state.catalogue.revision == 1);
    PutEntries replacing;
    replacing.replace = true;
    CHECK(apply(state, {"3", {}, replacing}).message
          == "key \"k\": field \"customer\" names customer \"x\", which does not exist");
    replacing.entries.customers["x"] = sampleCustomer("x", 5);
    CHECK(apply(state, {"4", {}, replacing}).accepted);
    CHECK(state.catalogue.customers.size() == 1);
    CHECK(state.catalogue.keys.size() == 1);
    CHECK(state.catalogue.upstreams.empty());
}

TEST_CASE("references and unique values are checked")
{
    struct Row
    {
        const char *what;
        void (*corrupt)(Catalogue &);
        const char *message;
    };
    const Row rows[] = {
        {"same hash",
         [](Catalogue &it) {
             it.keys["l"] = sampleKey("l", "x", 'a');
         },
         "key \"l\": field \"sha256\" has the value of key \"k\", but must be unique"},
        {"unknown upstream",
         [](Catalogue &it) {
             it.routes["r"].upstreams = {"none"};
         },
         "route \"r\": field \"upstreams\" names upstream \"none\", which does not exist"},
        {"wrong kind",
         [](Catalogue &it) {
             it.routes["r"].upstreams = {"s"};
         },
         "route \"r\": field \"upstreams\" names upstream \"s\", whose kind is not engine"},
        {"other model",
         [](Catalogue &it) {
             it.routes["r"].model = "n";
         },
         "route \"r\": field \"upstreams\" names upstream \"e\", whose model is \"m\""},
        {"same model",
         [](Catalogue &it) {
             it.routes["z"] = sampleRoute("z", "m");
         },
         "route \"z\": field \"model\" has the value of route \"r\", but must be unique"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Catalogue catalogue;
        catalogue.customers["x"] = sampleCustomer("x");
        catalogue.keys["k"] = sampleKey("k", "x", 'a');
        catalogue.upstreams["e"] = sampleUpstream("e");
        catalogue.upstreams["s"] = sampleUpstream("s", UpstreamKind::Service);
        catalogue.routes["r"] = sampleRoute("r", "m");
        catalogue.routes["r"].upstreams = {"e"};
        const auto check = [&] {
            return orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_CHECK(checkReferences(catalogue));
                    return std::string();
                },
                [](const Error &error) {
                    return error.message;
                });
        };
        CHECK(check().empty());
        row.corrupt(catalogue);
        CHECK(check() == row.message);
    }
}

TEST_CASE("each change of the instances makes a new epoch")
{
    State state;
    const auto announce = [&](const Instance &it) {
        return apply(state, {{}, {}, AnnounceInstance{it}}).epoch;
    };
    CHECK(announce(sampleInstance("e1", 1, InstanceState::Starting)) == 1);
    CHECK(announce(sampleInstance("e1", 1)) == 2);
    CHECK(announce(sampleInstance("e1", 1)) == 2);
    CHECK(announce(sampleInstance("e1", 2)) == 3);
    CHECK_FALSE(apply(state, {{}, {}, DepartInstance{"e1", 1}}).accepted);
    CHECK(apply(state, {"d", {}, DrainInstance{"e1", true}}).epoch == 4);
    CHECK(state.instances.entries["e1"].state == InstanceState::Leaving);
    CHECK(announce(sampleInstance("e1", 2)) == 4);
    CHECK(announce(sampleInstance("e1", 3)) == 5);
    CHECK(state.instances.entries["e1"].state == InstanceState::Leaving);
    CHECK(apply(state, {"u", {}, DrainInstance{"e1", false}}).epoch == 6);
    CHECK(state.instances.entries["e1"].state == InstanceState::Serving);
    CHECK(apply(state, {{}, {}, DepartInstance{"e1", 3}}).epoch == 7);
    CHECK(state.instances.entries.empty());
    CHECK(state.catalogue.revision == 0);
}

TEST_CASE("a departed process may act until its place or time proves its end")
{
    State state;
    const auto announce = [&](const std::string &name, std::uint64_t incarnation,
                              std::uint64_t place, std::uint64_t ended = 0) {
        Instance instance = sampleInstance(name, incarnation);
        instance.place = place;
        apply(state, {{}, {}, AnnounceInstance{instance, {}, ended}});
    };
    using Departures = std::map<std::uint64_t, std::uint64_t>;
    announce("e1", 1, 11);
    announce("e2", 2, 12);
    announce("e1", 3, 11);
    CHECK(state.instances.departures == 1);
    CHECK(state.instances.unprovenDepartures.empty());
    announce("e1", 4, 13);
    announce("e3", 5, 0);
    announce("e3", 6, 0);
    CHECK(state.instances.unprovenDepartures == Departures{{2, 11}, {3, 0}});
    apply(state, {{}, {}, DepartInstance{"e2", 2}});
    CHECK(state.instances.unprovenDepartures == Departures{{2, 11}, {3, 0}, {4, 12}});
    // Another process with the place of a departed one proves its end, whatever its name.
    announce("e4", 7, 12);
    CHECK(state.instances.unprovenDepartures == Departures{{2, 11}, {3, 0}});
    announce("e5", 8, 14, 2);
    CHECK(state.instances.unprovenDepartures == Departures{{3, 0}});
    for (std::uint64_t incarnation = 9; incarnation < 9 + maxUnprovenDepartures; ++incarnation)
        announce("e5", incarnation, 1000 + incarnation);
    CHECK(state.instances.unprovenDepartures.size() == maxUnprovenDepartures);
    CHECK(state.instances.unprovenDepartures.begin()->first == 5);
    CHECK(state.instances.unprovenDepartures.begin()->second == 0);
}

TEST_CASE("a hint holds until the instance announces something new, and removes no instance")
{
    State state;
    const auto announce = [&](std::uint64_t incarnation, InstanceState newState) {
        apply(state, {{}, {}, AnnounceInstance{sampleInstance("e1", incarnation, newState), {}}});
    };
    const auto hint = [&](std::uint64_t incarnation, bool leaving) {
        return apply(state, {{}, {}, HintInstance{"e1", incarnation, leaving}}).accepted;
    };
    CHECK_FALSE(hint(1, true));
    CHECK(state.instances.entries.empty());
    announce(1, InstanceState::Serving);
    CHECK_FALSE(hint(2, true));
    CHECK(hint(1, true));
    CHECK(state.instances.epoch == 2);
    CHECK(hint(1, true));
    CHECK(state.instances.epoch == 2);
    CHECK(state.instances.hinted.count("e1") == 1);
    CHECK(state.instances.entries.at("e1").state == InstanceState::Serving);
    CHECK(state.instances.departures == 0);
    announce(2, InstanceState::Serving);
    CHECK(state.instances.hinted.empty());
    CHECK(hint(2, true));
    announce(2, InstanceState::Leaving);
    CHECK(state.instances.hinted.empty());
    CHECK(hint(2, true));
    CHECK(hint(2, false));
    CHECK(state.instances.hinted.empty());
}

TEST_CASE("an epoch is active once every proof from before it is too old")
{
    const Duration bound = std::chrono::seconds(5);
    const TimePoint start(std::chrono::seconds(100));
    Snapshot snapshot;
    CHECK_FALSE(isEpochActive(snapshot, start, bound));
    snapshot.epochSince = start;
    CHECK_FALSE(isEpochActive(snapshot, start + bound, bound));
    CHECK(isEpochActive(snapshot, start + bound + Duration(1), bound));
    Snapshot old;
    old.provenAt = start - Duration(1);
    CHECK_FALSE(isFresh(old, start + bound, bound));
}

TEST_CASE("a view ignores an older revision or epoch, and its proof never gets older")
{
    const auto snapshot = [](std::uint64_t revision, std::uint64_t epoch, int provenSeconds) {
        Catalogue catalogue;
        catalogue.revision = revision;
        Instances instances;
        instances.epoch = epoch;
        Snapshot it;
        it.catalogue = std::make_shared<const Catalogue>(catalogue);
        it.instances = std::make_shared<const Instances>(instances);
        it.provenAt = TimePoint(std::chrono::seconds(provenSeconds));
        return it;
    };
    View view;
    view.offer(snapshot(3, 3, 30));
    view.offer(snapshot(2, 4, 40));
    view.offer(snapshot(4, 2, 40));
    CHECK(view.current().catalogue->revision == 3);
    CHECK(view.current().instances->epoch == 3);
    view.offer(snapshot(4, 3, 20));
    CHECK(view.current().catalogue->revision == 4);
    CHECK(view.current().provenAt == TimePoint(std::chrono::seconds(30)));
}
