#include "platformlist.h"

#include "kumquathaven/base/enumnames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

constexpr const char *formatName = "kumquathaven-instances";
constexpr std::uint64_t formatVersion = 1;
/// Maximum time by which the platform's clock may be ahead of this process's clock.
constexpr Duration maxFuture = std::chrono::seconds(5);
/// Times in the list are clamped to at most this age. Older times make no difference to any
/// decision, and the limit keeps the arithmetic in range.
constexpr Duration maxPast = std::chrono::hours(24);

constexpr std::array<EnumName<ListedState>, 3> listedStateNames{{
    {ListedState::Live, "live"},
    {ListedState::Leaving, "leaving"},
    {ListedState::Gone, "gone"},
}};

/// Returns a time of the list on this process's clock, or nothing if the field is not a time or
/// lies too far in the future.
std::optional<TimePoint> timeOf(const json &line, const char *field, const ClockReading &now)
{
    const auto value = line.find(field);
    if (value == line.end() || !value->is_number())
        return std::nullopt;
    const double wall =
        toSeconds(std::chrono::duration_cast<Duration>(now.wall.time_since_epoch()));
    const double age = wall - value->get<double>();
    if (!std::isfinite(age) || age < -toSeconds(maxFuture))
        return std::nullopt;
    return now.monotonic - fromSeconds(std::clamp(age, 0.0, toSeconds(maxPast)));
}

/// Converts a time of the list, which timeOf() has checked, to milliseconds; zero if it is before
/// 1970.
std::uint64_t millisecondsOf(double seconds)
{
    return static_cast<std::uint64_t>(std::max(0.0, seconds) * 1000.0);
}

bool readHead(const json &line, const ClockReading &now, PlatformList &list)
{
    const bool isHead = line.is_object() && line.size() == 3 && line.contains("format")
        && line["format"] == formatName && line.contains("version")
        && line["version"] == formatVersion;
    const auto writtenAt = isHead ? timeOf(line, "writtenAt", now) : std::nullopt;
    if (writtenAt)
        list.writtenAt = *writtenAt;
    return writtenAt.has_value();
}

bool readInstance(const json &line, const ClockReading &now, PlatformList &list)
{
    const bool isInstance = line.is_object() && line.size() == 3 && line.contains("instance")
        && line["instance"].is_string() && line.contains("state") && line["state"].is_string();
    if (!isInstance)
        return false;
    const auto state = valueOf(listedStateNames, line["state"].get_ref<const std::string &>());
    const auto at = timeOf(line, "at", now);
    if (!state || !at)
        return false;
    const ListedInstance listed{*state, *at, millisecondsOf(line["at"].get<double>())};
    return list.instances.emplace(line["instance"].get<std::string>(), listed).second;
}

/// Returns whether an instance should have a hint. Both the time in \p line and the time in
/// \p announced come from the processes that announced them, so it makes no difference when or how
/// often a member received them.
bool wantsHint(const ListedInstance &line, bool hinted, const catalogue::Instance &announced,
               std::optional<TimePoint> lastHeartbeat)
{
    if (line.state == ListedState::Live || (!hinted && line.since <= announced.since))
        return false;
    return line.state == ListedState::Leaving || !lastHeartbeat || *lastHeartbeat <= line.at;
}

} // namespace

Result<PlatformList> parsePlatformList(std::string_view text, const std::string &name,
                                       const ClockReading &now)
{
    const auto failed = [&](ErrorCode code, const std::string &message) {
        return fail({code, "control.platformList", name, message, Outcome::NotRun, {}});
    };
    if (text.size() > maxPlatformListBytes)
        return failed(ErrorCode::TooLarge,
                      "has more than " + std::to_string(maxPlatformListBytes) + " bytes");
    PlatformList list;
    std::size_t number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const json line = json::parse(text.substr(0, end), nullptr, false);
        const bool isGood = number == 1 ? readHead(line, now, list) : readInstance(line, now, list);
        if (!isGood || end == std::string_view::npos)
            return failed(
                ErrorCode::InvalidRequest,
                "line " + std::to_string(number)
                    + (isGood ? " does not end with a newline" : " does not match the format"));
        text.remove_prefix(end + 1);
    }
    if (number == 0)
        return failed(ErrorCode::InvalidRequest, "is empty");
    return Result<PlatformList>(std::move(list));
}

std::vector<catalogue::HintInstance> decideHints(const catalogue::Instances &instances,
                                                 const PlatformList *list, const Liveness &liveness)
{
    std::vector<catalogue::HintInstance> changes;
    for (const auto &[name, it] : instances.entries) {
        const bool hinted = instances.hinted.count(name) > 0;
        bool wanted = false;
        if (list) {
            const auto line = list->instances.find(name);
            wanted = line != list->instances.end()
                && wantsHint(line->second, hinted, it,
                             liveness.lastHeartbeat(name, it.incarnation));
        }
        if (wanted != hinted)
            changes.push_back({name, it.incarnation, wanted});
    }
    return changes;
}

} // namespace kumquathaven::control
