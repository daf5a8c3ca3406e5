#include "rollouts.h"

#include "changes.h"
#include "limit.h"

#include "kumquathaven/base/time.h"

#include <cstdio>

namespace kumquathaven::ctl {

namespace {

using nlohmann::json;

/// Returns the rollouts of the newest catalogue.
Result<json> fetchRollouts(const Arguments &arguments)
{
    ControlClient client(arguments.control, arguments.timeout);
    BOOST_LEAF_AUTO(reply, client.callLeader("GET", "/v1/catalogue"));
    BOOST_LEAF_AUTO(catalogue, bodyOf(reply));
    return Result<json>(catalogue.value("rollouts", json::array()));
}

Result<json> rolloutOf(const Arguments &arguments, const std::string &service)
{
    BOOST_LEAF_AUTO(rollouts, fetchRollouts(arguments));
    for (const json &it : rollouts) {
        if (it["service"] == service)
            return Result<json>(it);
    }
    return fail({ErrorCode::NotFound,
                 "rollout",
                 service,
                 "the service has no rollout",
                 Outcome::NotRun,
                 {}});
}

Result<void> start(const Arguments &arguments)
{
    if (arguments.words.size() != 3 || arguments.release.empty())
        return fail(usage("rollout start needs a service, --release and --limit"));
    const auto limitMs = parseLimitMs(arguments.limit);
    if (!limitMs)
        return fail(usage("--limit \"" + arguments.limit
                          + "\" must be a whole number with a unit (ms, s, m, h), up to 168h"));
    // The time of the order is left out: the clock of an operator's machine may be wrong.
    const json change{{"kind", "startRollout"},
                      {"service", arguments.words[2]},
                      {"release", arguments.release},
                      {"limitMs", *limitMs}};
    BOOST_LEAF_AUTO(answer, sendChange(arguments, change));
    printAnswer(arguments, answer, "ordered release " + arguments.release);
    return {};
}

Result<void> status(const Arguments &arguments)
{
    json rows;
    if (arguments.words.size() > 2) {
        BOOST_LEAF_AUTO(rollout, rolloutOf(arguments, arguments.words[2]));
        rows = json::array({std::move(rollout)});
    } else {
        BOOST_LEAF_ASSIGN(rows, fetchRollouts(arguments));
    }
    if (arguments.asJson) {
        std::printf("%s\n", rows.dump().c_str());
        return {};
    }
    for (const json &it : rows)
        std::printf("%s: release %s, %s, step %s, share %.1f%%, limit %s ms, %s\n",
                    it["service"].get<std::string>().c_str(),
                    it["release"].get<std::string>().c_str(),
                    it["state"].get<std::string>().c_str(), it["step"].dump().c_str(),
                    it["sharePerMille"].get<double>() / 10, it["limitMs"].dump().c_str(),
                    it["reason"].get<std::string>().c_str());
    return {};
}

/// Repeats the abort while steps are recorded in between, since it names the step that it ends.
Result<void> abort(const Arguments &arguments)
{
    if (arguments.words.size() != 3)
        return fail(usage("rollout abort needs a service"));
    // Each attempt is a change of its own, so that a change id can't be used.
    Arguments attempt = arguments;
    attempt.changeId.clear();
    const TimePoint end = monotonicNow() + arguments.timeout;
    while (true) {
        BOOST_LEAF_AUTO(rollout, rolloutOf(arguments, arguments.words[2]));
        if (rollout["state"] == "rolledBack") {
            std::printf("%s\n", arguments.asJson ? rollout.dump().c_str() : "rolled back already");
            return {};
        }
        if (rollout["state"] != "running")
            return fail({ErrorCode::Conflict,
                         "rollout",
                         arguments.words[2],
                         "the rollout is complete; order one back to the former release",
                         Outcome::NotRun,
                         {}});
        const json change{
            {"kind", "recordRolloutStep"}, {"service", rollout["service"]},
            {"number", rollout["number"]}, {"fromStep", rollout["step"]},
            {"state", "rolledBack"},       {"elapsedMs", rollout.value("elapsedMs", 0)},
            {"reason", "by an operator"}};
        std::optional<Error> problem;
        const json answer = orElse(
            [&] {
                return sendChange(attempt, change);
            },
            [&](const Error &error) {
                problem = error;
                return json();
            });
        if (!problem) {
            printAnswer(arguments, answer, "rolled back");
            return {};
        }
        if (problem->code != ErrorCode::Conflict || monotonicNow() >= end)
            return fail(*problem);
    }
}

} // namespace

Result<void> rollout(const Arguments &arguments)
{
    const std::string action = arguments.words.size() > 1 ? arguments.words[1] : "";
    if (action == "start")
        return start(arguments);
    if (action == "status")
        return status(arguments);
    if (action == "abort")
        return abort(arguments);
    return fail(usage("rollout takes start, status or abort"));
}

} // namespace kumquathaven::ctl
