#include "rollouts.h"

#include <algorithm>
#include <limits>

namespace kumquathaven::catalogue {

namespace {

using nlohmann::json;

/// Maximum number of services with a rollout. Beyond it the oldest one that has ended is forgotten.
constexpr std::size_t maxRollouts = 4096;
constexpr std::uint32_t wholeShare = 1000;
/// Milliseconds since 1970. The limit lies in the year 2255, so that arithmetic in nanoseconds
/// stays in range.
constexpr std::uint64_t maxOrderedAtMs = 9'000'000'000'000;

boost::leaf::error_id refuse(ErrorCode code, const std::string &message)
{
    return fail({code, "catalogue.apply", {}, message, Outcome::NotRun, {}});
}

std::string describeRollout(const ServiceRollout &it)
{
    return "rollout of release \"" + it.release + "\" of service \"" + it.service + "\"";
}

/// Makes room for one more rollout. Fails with Overloaded if all of them are running.
Result<void> makeRoom(std::map<std::string, ServiceRollout> &rollouts)
{
    if (rollouts.size() < maxRollouts)
        return {};
    auto oldest = rollouts.end();
    for (auto it = rollouts.begin(); it != rollouts.end(); ++it) {
        const bool isOlder = oldest == rollouts.end() || it->second.number < oldest->second.number;
        if (it->second.state != RolloutState::Running && isOlder)
            oldest = it;
    }
    if (oldest == rollouts.end())
        return refuse(ErrorCode::Overloaded,
                      "at most " + std::to_string(maxRollouts) + " rollouts run at the same time");
    rollouts.erase(oldest);
    return {};
}

/// Reads the name of a service or a release.
void readLabel(Fields &fields, const std::string &field, std::string &out)
{
    std::string text;
    fields.text(field, text, Presence::Required);
    if (text.empty() || text.size() > maxReleaseBytes)
        fields.reject(field, "must have 1 to " + std::to_string(maxReleaseBytes) + " bytes");
    else
        out = text;
}

void readOrderFields(Fields &fields, std::string &service, std::string &release,
                     std::uint64_t &limitMs, std::uint64_t &orderedAtMs)
{
    readLabel(fields, "service", service);
    readLabel(fields, "release", release);
    fields.number("limitMs", limitMs, std::uint64_t{1}, maxRolloutLimitMs, Presence::Required);
    fields.number("orderedAtMs", orderedAtMs, std::uint64_t{0}, maxOrderedAtMs);
}

Result<ServiceRollout> rolloutFromJson(const json &value)
{
    ServiceRollout rollout;
    Fields fields(value, "rollout");
    readOrderFields(fields, rollout.service, rollout.release, rollout.limitMs, rollout.orderedAtMs);
    fields.number("number", rollout.number);
    fields.choice("state", rollout.state, rolloutStateNames, Presence::Required);
    fields.number("step", rollout.step);
    fields.number("sharePerMille", rollout.sharePerMille, 0U, wholeShare);
    fields.number("elapsedMs", rollout.elapsedMs, std::uint64_t{0}, maxOrderedAtMs);
    fields.text("reason", rollout.reason);
    BOOST_LEAF_CHECK(fields.finishKnown());
    return Result<ServiceRollout>(std::move(rollout));
}

} // namespace

Result<void> startRollout(Catalogue &catalogue, const StartRollout &order)
{
    const bool isNative = !catalogue.declaration.text;
    if (isNative && catalogue.routes.count(order.service) == 0)
        return refuse(ErrorCode::NotFound,
                      "field \"service\": route \"" + order.service + "\" does not exist");
    const auto present = catalogue.rollouts.find(order.service);
    if (present != catalogue.rollouts.end()) {
        const ServiceRollout &last = present->second;
        const bool isSameRelease = last.release == order.release;
        // An operator whose answer was lost sends the order again, possibly after its end.
        if (isSameRelease && last.limitMs == order.limitMs)
            return {};
        if (last.state == RolloutState::Running)
            return refuse(ErrorCode::Conflict, "the " + describeRollout(last) + " is in progress");
        if (isSameRelease && last.state == RolloutState::Complete)
            return refuse(ErrorCode::Conflict,
                          "release \"" + last.release + "\" of service \"" + last.service
                              + "\" runs already");
        catalogue.rollouts.erase(present);
    } else {
        BOOST_LEAF_CHECK(makeRoom(catalogue.rollouts));
    }
    ServiceRollout next;
    next.service = order.service;
    next.release = order.release;
    next.limitMs = order.limitMs;
    next.orderedAtMs = order.orderedAtMs;
    next.number = ++catalogue.revision;
    catalogue.rollouts[order.service] = next;
    return {};
}

Result<void> recordRolloutStep(Catalogue &catalogue, const RecordRolloutStep &step)
{
    const auto present = catalogue.rollouts.find(step.service);
    if (present == catalogue.rollouts.end())
        return refuse(ErrorCode::NotFound, "service \"" + step.service + "\" has no rollout");
    ServiceRollout &rollout = present->second;
    const bool isPresent = rollout.number == step.number && rollout.step == step.fromStep;
    if (rollout.state != RolloutState::Running || !isPresent)
        return refuse(ErrorCode::Conflict,
                      "the " + describeRollout(rollout) + " is number "
                          + std::to_string(rollout.number) + " at step "
                          + std::to_string(rollout.step) + " and "
                          + std::string(nameOf(rolloutStateNames, rollout.state)));
    rollout.state = step.state;
    rollout.sharePerMille = step.sharePerMille;
    if (step.state == RolloutState::Complete)
        rollout.sharePerMille = wholeShare;
    else if (step.state == RolloutState::RolledBack)
        rollout.sharePerMille = 0;
    rollout.elapsedMs = std::max(rollout.elapsedMs, step.elapsedMs);
    rollout.reason = step.reason;
    ++rollout.step;
    ++catalogue.revision;
    return {};
}

json toJson(const std::map<std::string, ServiceRollout> &rollouts)
{
    json list = json::array();
    for (const auto &[service, it] : rollouts)
        list.push_back({{"service", service},
                        {"release", it.release},
                        {"limitMs", it.limitMs},
                        {"orderedAtMs", it.orderedAtMs},
                        {"number", it.number},
                        {"state", nameOf(rolloutStateNames, it.state)},
                        {"step", it.step},
                        {"sharePerMille", it.sharePerMille},
                        {"elapsedMs", it.elapsedMs},
                        {"reason", it.reason}});
    return list;
}

Result<std::map<std::string, ServiceRollout>> rolloutsFromJson(const json &value)
{
    std::map<std::string, ServiceRollout> rollouts;
    const auto malformed = [](const std::string &message) {
        return fail(
            {ErrorCode::InvalidRequest, "catalogue.read", {}, message, Outcome::NotRun, {}});
    };
    if (!value.is_array() || value.size() > maxRollouts)
        return malformed("rollouts must be a list of at most " + std::to_string(maxRollouts));
    for (const json &it : value) {
        BOOST_LEAF_AUTO(rollout, rolloutFromJson(it));
        const std::string service = rollout.service;
        if (!rollouts.emplace(service, std::move(rollout)).second)
            return malformed("service \"" + service + "\" has two rollouts");
    }
    return Result<std::map<std::string, ServiceRollout>>(std::move(rollouts));
}

void writeOrder(const StartRollout &order, json &value)
{
    value["service"] = order.service;
    value["release"] = order.release;
    value["limitMs"] = order.limitMs;
    value["orderedAtMs"] = order.orderedAtMs;
}

void writeStep(const RecordRolloutStep &step, json &value)
{
    value["service"] = step.service;
    value["number"] = step.number;
    value["fromStep"] = step.fromStep;
    value["state"] = nameOf(rolloutStateNames, step.state);
    value["sharePerMille"] = step.sharePerMille;
    value["elapsedMs"] = step.elapsedMs;
    value["reason"] = step.reason;
}

StartRollout readOrder(Fields &fields)
{
    StartRollout order;
    readOrderFields(fields, order.service, order.release, order.limitMs, order.orderedAtMs);
    return order;
}

RecordRolloutStep readStep(Fields &fields)
{
    RecordRolloutStep step;
    readLabel(fields, "service", step.service);
    fields.number("number", step.number, std::uint64_t{0},
                  std::numeric_limits<std::uint64_t>::max(), Presence::Required);
    fields.number("fromStep", step.fromStep, 0U, std::numeric_limits<std::uint32_t>::max(),
                  Presence::Required);
    fields.choice("state", step.state, rolloutStateNames, Presence::Required);
    fields.number("sharePerMille", step.sharePerMille, 0U, wholeShare);
    fields.number("elapsedMs", step.elapsedMs, std::uint64_t{0}, maxOrderedAtMs);
    fields.text("reason", step.reason);
    return step;
}

} // namespace kumquathaven::catalogue
