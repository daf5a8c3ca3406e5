#include "explain.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace kumquathaven::ctl {

namespace {

using nlohmann::ordered_json;

constexpr const char *requestDuty = "request";
constexpr const char *timeFormat = "%Y-%m-%dT%H:%M:%S.%iZ";
/// Longer than entries take to learn of a change, and than an ejected server stays away at first.
constexpr Duration beliefTime = std::chrono::seconds(10);

std::string textOf(const ordered_json &fields, const char *name)
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Returns a time that is earlier by \p by; the time itself if it can not be read.
std::string earlier(const std::string &time, Duration by)
{
    int zone = 0;
    Poco::DateTime parsed;
    if (!Poco::DateTimeParser::tryParse(timeFormat, time, parsed, zone))
        return time;
    const Poco::Timestamp::TimeDiff microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(by).count();
    return Poco::DateTimeFormatter::format(parsed.timestamp() - microseconds, timeFormat);
}

void sortByTime(std::vector<LogRecord> &records)
{
    std::stable_sort(records.begin(), records.end(), [](const LogRecord &a, const LogRecord &b) {
        return a.time < b.time;
    });
}

void print(const LogRecord &record)
{
    std::string text = record.time + "  " + record.instance + "  " + record.duty + ": "
        + textOf(record.fields, "message");
    for (const auto &[name, value] : record.fields.items()) {
        const bool isShown = name == "time" || name == "instance" || name == "duty"
            || name == "message" || name == "level" || name == "id";
        if (!isShown)
            text +=
                "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    std::printf("%s\n", text.c_str());
}

ordered_json toJson(const std::vector<LogRecord> &records)
{
    ordered_json list = ordered_json::array();
    for (const LogRecord &it : records)
        list.push_back(it.fields);
    return list;
}

Error problem(ErrorCode code, const std::string &step, const std::string &message)
{
    return {code, step, {}, message, Outcome::NotRun, {}};
}

} // namespace

std::vector<LogRecord> readRecords(std::istream &in)
{
    std::vector<LogRecord> records;
    std::string line;
    while (std::getline(in, line)) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos)
            continue;
        ordered_json fields = ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin),
                                                  line.end(), nullptr, false);
        if (!fields.is_object())
            continue;
        LogRecord record{
            textOf(fields, "time"), textOf(fields, "instance"), textOf(fields, "duty"), {}};
        if (record.time.empty() || record.instance.empty())
            continue;
        record.fields = std::move(fields);
        records.push_back(std::move(record));
    }
    return records;
}

Explanation explain(const std::vector<LogRecord> &records, const std::string &requestId,
                    Duration before)
{
    Explanation explanation;
    for (const LogRecord &it : records) {
        if (textOf(it.fields, "id") == requestId)
            explanation.story.push_back(it);
    }
    if (explanation.story.empty())
        return explanation;
    sortByTime(explanation.story);
    const std::string first = earlier(explanation.story.front().time, before);
    const std::string last = explanation.story.back().time;
    for (const LogRecord &it : records) {
        if (it.duty != requestDuty && first <= it.time && it.time <= last)
            explanation.beliefs.push_back(it);
    }
    sortByTime(explanation.beliefs);
    return explanation;
}

Result<void> runExplain(const std::vector<std::string> &words, bool asJson)
{
    if (words.size() < 3)
        return fail(problem(ErrorCode::InvalidRequest, "usage",
                            "explain needs a request id and at least one file"));
    std::vector<LogRecord> records;
    for (std::size_t n = 2; n < words.size(); ++n) {
        std::ifstream in(words[n], std::ios::binary);
        if (!in)
            return fail(
                problem(ErrorCode::NotFound, "explain.read", words[n] + " can not be read"));
        std::vector<LogRecord> more = readRecords(in);
        std::move(more.begin(), more.end(), std::back_inserter(records));
    }
    const Explanation explanation = explain(records, words[1], beliefTime);
    if (explanation.story.empty())
        return fail(problem(ErrorCode::NotFound, "explain.find",
                            "no line of these files has the id " + words[1]));
    if (asJson) {
        const ordered_json whole = {{"request", words[1]},
                                    {"story", toJson(explanation.story)},
                                    {"beliefs", toJson(explanation.beliefs)}};
        std::printf("%s\n", whole.dump(2).c_str());
        return {};
    }
    std::printf("request %s\n", words[1].c_str());
    for (const LogRecord &it : explanation.story)
        print(it);
    std::printf("\nwhat processes came to believe from %lld s before to its end\n",
                static_cast<long long>(
                    std::chrono::duration_cast<std::chrono::seconds>(beliefTime).count()));
    for (const LogRecord &it : explanation.beliefs)
        print(it);
    return {};
}

} // namespace kumquathaven::ctl
