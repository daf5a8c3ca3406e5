#include "commands.h"

#include "changes.h"
#include "rollouts.h"

#include "kumquathaven/catalogue/names.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <thread>

namespace kumquathaven::ctl {

namespace {

using nlohmann::json;

constexpr Duration membershipPoll = std::chrono::milliseconds(200);

/// Prints a list of objects as a table with the given fields as columns.
void printTable(const json &list, const std::vector<std::string> &fields)
{
    const auto cell = [](const json &row, const std::string &field) {
        const json value = row.value(field, json());
        if (value.is_null())
            return std::string("-");
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        return text.empty() ? std::string("-") : text;
    };
    std::vector<std::size_t> widths;
    for (const std::string &field : fields) {
        std::size_t width = field.size();
        for (const json &row : list)
            width = std::max(width, cell(row, field).size());
        widths.push_back(width);
    }
    for (std::size_t n = 0; n < fields.size(); ++n)
        std::printf("%-*s  ", static_cast<int>(widths[n]), fields[n].c_str());
    std::printf("\n");
    for (const json &row : list) {
        for (std::size_t n = 0; n < fields.size(); ++n)
            std::printf("%-*s  ", static_cast<int>(widths[n]), cell(row, fields[n]).c_str());
        std::printf("\n");
    }
}

Result<json> fetchFromLeader(const Arguments &arguments, const std::string &path)
{
    ControlClient client(arguments.control, arguments.timeout);
    BOOST_LEAF_AUTO(reply, client.callLeader("GET", path));
    return bodyOf(reply);
}

Result<void> show(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(catalogue, fetchFromLeader(arguments, "/v1/catalogue"));
    json result = catalogue;
    if (arguments.words.size() > 1) {
        const std::string &kind = arguments.words[1];
        if (!valueOf(catalogue::entryKindNames, kind))
            return fail(usage("\"" + kind + "\" is no kind of entry"));
        result = catalogue[kind + "s"];
    }
    if (arguments.words.size() > 2) {
        json found;
        for (const json &it : result) {
            if (it["name"] == arguments.words[2])
                found = it;
        }
        if (found.is_null())
            return fail({ErrorCode::NotFound,
                         "get",
                         arguments.words[2],
                         "no such entry",
                         Outcome::NotRun,
                         {}});
        result = found;
    }
    std::printf("%s\n", result.dump(arguments.asJson ? -1 : 2).c_str());
    return {};
}

/// Asks every member for its own view of the log groups.
json membersStatus(const Arguments &arguments)
{
    const ControlClient client(arguments.control, arguments.timeout);
    json rows = json::array();
    for (const settings::Address &it : client.members()) {
        const std::string address = settings::toString(it);
        const json body = orElse(
            [&]() -> Result<json> {
                BOOST_LEAF_AUTO(reply, client.call(it, "GET", "/v1/members"));
                return bodyOf(reply);
            },
            [](const Error &error) {
                return json{{"groups", json::array()}, {"problem", error.message}};
            });
        if (body.contains("problem"))
            rows.push_back({{"address", address}, {"problem", body["problem"]}});
        for (const json &group : body["groups"]) {
            json row = group;
            row["address"] = address;
            row["instance"] = body["instance"];
            rows.push_back(row);
        }
    }
    return rows;
}

void printMembers(const json &rows)
{
    printTable(rows,
               {"address", "instance", "group", "role", "term", "leader", "commitIndex",
                "appliedIndex", "identity", "removed", "problem"});
    for (const json &row : rows) {
        if (row.value("role", "") != "leader")
            continue;
        std::printf("\nmembers of group %s as the leader sees them\n", row["group"].dump().c_str());
        printTable(row["members"], {"instance", "identity", "voter", "matchIndex", "silenceMs"});
    }
}

Result<void> status(const Arguments &arguments)
{
    const std::string what = arguments.words.size() > 1 ? arguments.words[1] : "all";
    const std::vector<std::string> parts{"all", "members", "instances", "upstreams", "customers"};
    if (std::find(parts.begin(), parts.end(), what) == parts.end())
        return fail(usage("status shows members, instances, upstreams or customers"));
    const bool isAll = what == "all";
    json result;
    if (isAll || what == "members")
        result["members"] = membersStatus(arguments);
    if (isAll || what == "instances") {
        BOOST_LEAF_ASSIGN(result["instances"], fetchFromLeader(arguments, "/v1/instances"));
    }
    if (isAll || what == "upstreams" || what == "customers") {
        BOOST_LEAF_AUTO(catalogue, fetchFromLeader(arguments, "/v1/catalogue"));
        if (what != "customers")
            result["upstreams"] = catalogue["upstreams"];
        if (what != "upstreams")
            result["customers"] = catalogue["customers"];
        result["revision"] = catalogue["revision"];
    }
    if (arguments.asJson) {
        std::printf("%s\n", result.dump().c_str());
        return {};
    }
    if (result.contains("members"))
        printMembers(result["members"]);
    if (result.contains("instances")) {
        std::printf("\nentry instances, epoch %s\n", result["instances"]["epoch"].dump().c_str());
        printTable(result["instances"]["entries"],
                   {"name", "state", "failureDomain", "callers", "link", "weight"});
    }
    if (result.contains("upstreams")) {
        std::printf("\nupstreams, revision %s\n", result["revision"].dump().c_str());
        printTable(
            result["upstreams"],
            {"name", "kind", "state", "address", "failureDomain", "model", "weightsVersion"});
    }
    if (result.contains("customers")) {
        std::printf("\ncustomers, revision %s\n", result["revision"].dump().c_str());
        printTable(result["customers"], {"name", "owner", "class", "weight", "limits"});
    }
    return {};
}

/// Shows which requests and parts of prompts an entry refuses, or lifts a verdict.
Result<void> quarantine(const Arguments &arguments)
{
    const std::vector<std::string> &words = arguments.words;
    const bool isLift = words.size() == 4 && words[2] == "lift";
    const settings::Address entry =
        words.size() > 1 ? settings::parseAddress(words[1]) : settings::Address();
    if ((words.size() != 2 && !isLift) || entry.port == 0)
        return fail(usage("quarantine needs the operators' address of an entry, and lift SUBJECT"));
    const ControlClient client({entry}, arguments.timeout);
    const std::string path = "/v1/quarantine";
    if (isLift) {
        BOOST_LEAF_AUTO(reply, client.call(entry, "POST", path, {{"lift", words[3]}}));
        BOOST_LEAF_CHECK(bodyOf(reply));
        std::printf("lifted the verdict about %s\n", words[3].c_str());
        return {};
    }
    BOOST_LEAF_AUTO(reply, client.call(entry, "GET", path));
    BOOST_LEAF_AUTO(body, bodyOf(reply));
    if (arguments.asJson) {
        std::printf("%s\n", body.dump().c_str());
        return {};
    }
    printTable(body["verdicts"],
               {"kind", "subject", "crashes", "inForce", "ageSeconds", "lapsesInSeconds"});
    std::printf("\nsuspects\n");
    printTable(body["suspects"], {"kind", "subject", "crashes"});
    return {};
}

/// Returns "version +adapter role", as far as they are set.
std::string servedText(const json &served)
{
    if (!served.is_object())
        return "-";
    std::string text = served.value("weightsVersion", "");
    for (const json &it : served["adapters"])
        text += " +" + it.get<std::string>();
    const std::string role = served.value("role", "");
    if (!role.empty())
        text += " " + role;
    return text + (served.value("loading", false) ? " loading" : "");
}

Result<void> orders(const Arguments &arguments)
{
    if (arguments.words.size() != 1)
        return fail(usage("orders takes no argument"));
    BOOST_LEAF_AUTO(body, fetchFromLeader(arguments, "/v1/orders"));
    if (arguments.asJson) {
        std::printf("%s\n", body.dump().c_str());
        return {};
    }
    std::printf("holder %s, fencing number %s, load slots %s of %s in use\n",
                body["holder"].get<std::string>().c_str(), body["fence"].dump().c_str(),
                body["slotsInUse"].dump().c_str(), body["loadSlots"].dump().c_str());
    json rows = json::array();
    for (const json &it : body["upstreams"]) {
        json row = it;
        row["wanted"] = servedText(it["wanted"]);
        row["seen"] = servedText(it["seen"]);
        row["order"] = it["order"].is_object() ? it["order"].value("kind", "") + " "
                + it["order"].value("id", "") + ", number " + it["order"]["fence"].dump()
                                               : "";
        rows.push_back(row);
    }
    printTable(rows, {"name", "state", "wanted", "seen", "order", "failures", "problem"});
    return {};
}

/// The numbers of the log groups that members report.
std::set<std::uint64_t> groupsOf(const json &rows)
{
    std::set<std::uint64_t> groups;
    for (const json &row : rows) {
        if (row.contains("group"))
            groups.insert(row["group"].get<std::uint64_t>());
    }
    return groups;
}

/// Returns whether the leader of a group counts an instance, with its present storage, as a voter.
bool isVoter(const json &rows, std::uint64_t group, const std::string &instance)
{
    json identity;
    for (const json &row : rows) {
        if (row.value("instance", "") == instance && row.value("group", json()) == group)
            identity = row["identity"];
    }
    const auto isPresent = [&](const json &it) {
        return it["instance"] == instance && it["voter"] == true && it["identity"] == identity;
    };
    for (const json &row : rows) {
        if (row.value("role", "") != "leader" || row["group"] != group)
            continue;
        const json &members = row["members"];
        return std::any_of(members.begin(), members.end(), isPresent);
    }
    return false;
}

/// Asks the leader of each log group, which may be different members.
Result<void> changeMembers(const Arguments &arguments, const std::string &action,
                           const std::string &instance)
{
    ControlClient client(arguments.control, arguments.timeout);
    const json rows = membersStatus(arguments);
    for (const std::uint64_t group : groupsOf(rows)) {
        if (action != "remove" && isVoter(rows, group, instance))
            continue;
        const json request{{"action", action}, {"instance", instance}, {"group", group}};
        BOOST_LEAF_AUTO(reply, client.callLeader("POST", "/v1/members", request));
        BOOST_LEAF_CHECK(bodyOf(reply));
    }
    return {};
}

/// Repeats the admission until the member votes with its present storage: a new leader does not
/// know of an earlier one's.
Result<void> admit(const Arguments &arguments, const std::string &action,
                   const std::string &instance)
{
    const TimePoint end = monotonicNow() + arguments.timeout;
    while (monotonicNow() < end) {
        BOOST_LEAF_CHECK(changeMembers(arguments, action, instance));
        const json rows = membersStatus(arguments);
        const std::set<std::uint64_t> groups = groupsOf(rows);
        const bool isDone =
            !groups.empty() && std::all_of(groups.begin(), groups.end(), [&](std::uint64_t group) {
                return isVoter(rows, group, instance);
            });
        if (isDone) {
            std::printf("%s\n",
                        arguments.asJson
                            ? json{{"instance", instance}, {"voter", true}}.dump().c_str()
                            : (instance + " is a voter").c_str());
            return {};
        }
        std::this_thread::sleep_for(membershipPoll);
    }
    return fail({ErrorCode::Timeout,
                 "members",
                 instance,
                 "not a voter yet; is it running with an empty data folder? the command can be "
                 "given again",
                 Outcome::Unknown,
                 {}});
}

Result<void> members(const Arguments &arguments)
{
    const std::string action = arguments.words.size() > 1 ? arguments.words[1] : "status";
    if (action == "status") {
        const json rows = membersStatus(arguments);
        if (arguments.asJson)
            std::printf("%s\n", rows.dump().c_str());
        else
            printMembers(rows);
        return {};
    }
    const bool isKnown = action == "add" || action == "remove" || action == "replace";
    if (!isKnown || arguments.words.size() != 3)
        return fail(usage("members takes status, or add, remove or replace and an instance"));
    const std::string &instance = arguments.words[2];
    if (action != "remove")
        return admit(arguments, action, instance);
    BOOST_LEAF_CHECK(changeMembers(arguments, action, instance));
    std::printf("%s\n",
                arguments.asJson ? json{{"instance", instance}, {"removed", true}}.dump().c_str()
                                 : (instance + " is removed").c_str());
    return {};
}

Result<void> key(const Arguments &arguments)
{
    const std::string action = arguments.words.size() > 1 ? arguments.words[1] : "";
    if (action == "grant")
        return grantKey(arguments);
    if (action == "withdraw")
        return withdrawKey(arguments);
    return fail(usage("key takes grant or withdraw"));
}

} // namespace

Result<void> run(const Arguments &arguments)
{
    const std::string command = arguments.words.empty() ? "" : arguments.words.front();
    if (command == "apply")
        return apply(arguments);
    if (command == "get")
        return show(arguments);
    if (command == "put")
        return put(arguments);
    if (command == "remove")
        return remove(arguments);
    if (command == "key")
        return key(arguments);
    if (command == "status")
        return status(arguments);
    if (command == "quarantine")
        return quarantine(arguments);
    if (command == "drain")
        return drain(arguments);
    if (command == "members")
        return members(arguments);
    if (command == "orders")
        return orders(arguments);
    if (command == "rollout")
        return rollout(arguments);
    return fail(usage(command.empty() ? "no command" : "unknown command \"" + command + "\""));
}

} // namespace kumquathaven::ctl
