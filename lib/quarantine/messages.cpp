#include "kumquathaven/quarantine/messages.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace kumquathaven::quarantine {

namespace {

using nlohmann::json;

// Bounds far above what instances send.
constexpr std::size_t maxSuspects = 128;
constexpr std::size_t maxSubjectName = 64;
constexpr std::uint64_t maxPosition = 1'000;
constexpr std::uint64_t maxAgeUs = 86'400'000'000;
constexpr std::uint32_t maxCrashes = 1'000'000;
constexpr std::size_t maxNews = 1'024;
/// The number of crashes also carries the state of trials, in decimal places above those of the
/// crashes: versions that do not know of trials require four elements, and show the sum.
constexpr std::uint32_t crashPlaces = 1'000;
constexpr std::uint32_t trialPlaces = 100;

std::uint64_t microseconds(Duration d)
{
    return std::min(maxAgeUs, static_cast<std::uint64_t>(std::max<std::int64_t>(0, d.count())));
}

bool readDuration(const json &value, Duration &out)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxAgeUs)
        return false;
    out = Duration(static_cast<Duration::rep>(value.get<std::uint64_t>()));
    return true;
}

bool readSubject(const json &value, std::string &out)
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > maxSubjectName)
        return false;
    out = value.get<std::string>();
    return true;
}

boost::leaf::error_id malformed(const char *what, const std::string &peer)
{
    return fail({ErrorCode::InvalidRequest,
                 "quarantine.decode",
                 peer,
                 std::string("malformed ") + what,
                 Outcome::NotRun,
                 {}});
}

/// Reads the elements of an array into a list.
template <typename T>
bool readList(const json &value, std::vector<T> &out, bool (*read)(const json &, T &))
{
    if (!value.is_array() || value.size() > maxNews)
        return false;
    out.resize(value.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        if (!read(value[n], out[n]))
            return false;
    }
    return true;
}

} // namespace

json toJson(const CrashReport &report)
{
    json suspects = json::array();
    for (const Suspect &it : report.suspects)
        suspects.push_back({it.subject, it.position});
    return {report.start, std::move(suspects)};
}

json toJson(const AnsweredSubject &answered)
{
    return {answered.subject, microseconds(answered.age)};
}

bool readCrash(const json &value, CrashReport &out)
{
    const bool isCrash = value.is_array() && value.size() == 2 && value[0].is_string()
        && value[1].is_array() && value[1].size() <= maxSuspects;
    if (!isCrash)
        return false;
    out.start = value[0].get<std::string>();
    for (const json &it : value[1]) {
        Suspect suspect;
        const bool isSuspect = it.is_array() && it.size() == 2
            && readSubject(it[0], suspect.subject) && it[1].is_number_unsigned()
            && it[1].get<std::uint64_t>() <= maxPosition;
        if (!isSuspect)
            return false;
        suspect.position = it[1].get<std::uint32_t>();
        out.suspects.push_back(std::move(suspect));
    }
    return true;
}

bool readAnswered(const json &value, AnsweredSubject &out)
{
    return value.is_array() && value.size() == 2 && readSubject(value[0], out.subject)
        && readDuration(value[1], out.age);
}

std::string encodeVerdict(const SubjectVerdict &verdict, TimePoint now, std::uint64_t wallNow)
{
    const Verdict &it = verdict.verdict;
    const std::uint64_t ageMs = microseconds(now - it.decidedAt) / 1'000;
    const std::uint32_t crashes = std::min(it.crashes, crashPlaces - 1)
        + crashPlaces
            * (std::min(it.failedTrials, trialPlaces - 1) + (it.isProven ? trialPlaces : 0));
    return wire::toCbor(
        json::array({verdict.subject, it.isLifted, crashes, wallNow - std::min(wallNow, ageMs)}));
}

Result<SubjectVerdict> decodeVerdict(std::string_view bytes, const std::string &peer, TimePoint now,
                                     std::uint64_t wallNow)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "quarantine.decode", peer));
    SubjectVerdict out;
    const bool isVerdict = value.is_array() && value.size() == 4
        && readSubject(value[0], out.subject) && value[1].is_boolean()
        && value[2].is_number_unsigned() && value[2].get<std::uint64_t>() <= maxCrashes
        && value[3].is_number_unsigned();
    if (!isVerdict)
        return malformed("verdict", peer);
    const std::uint64_t decidedAt = value[3].get<std::uint64_t>();
    const std::uint64_t ageUs =
        std::min(maxAgeUs / 1'000, wallNow - std::min(wallNow, decidedAt)) * 1'000;
    out.verdict.isLifted = value[1].get<bool>();
    const auto crashes = value[2].get<std::uint32_t>();
    out.verdict.crashes = crashes % crashPlaces;
    out.verdict.failedTrials = crashes / crashPlaces % trialPlaces;
    out.verdict.isProven = crashes / crashPlaces >= trialPlaces;
    out.verdict.knownSince = now;
    out.verdict.decidedAt = now - Duration(static_cast<Duration::rep>(ageUs));
    return Result<SubjectVerdict>(std::move(out));
}

std::string describeEvidence(const Evidence &evidence, TimePoint now)
{
    json verdicts = json::array();
    for (const auto &[subject, it] : evidence.verdicts)
        verdicts.push_back(
            {{"kind", nameOf(subjectKindNames, kindOf(subject))},
             {"subject", subject},
             {"crashes", it.crashes},
             {"failedTrials", it.failedTrials},
             {"proven", it.isProven},
             {"inForce", isInForce(it, now)},
             {"nextTrialInSeconds", toSeconds(nextTrialAt(evidence.policy, it) - now)},
             {"ageSeconds", toSeconds(now - it.decidedAt)},
             {"lapsesInSeconds", toSeconds(it.expiresAt - now)}});
    std::map<std::string, std::size_t> crashes;
    for (const Crash &crash : evidence.crashes) {
        for (const auto &it : crash.suspects)
            ++crashes[it.first];
    }
    json suspects = json::array();
    for (const auto &[subject, count] : crashes)
        suspects.push_back({{"kind", nameOf(subjectKindNames, kindOf(subject))},
                            {"subject", subject},
                            {"crashes", count}});
    return json({{"verdicts", std::move(verdicts)}, {"suspects", std::move(suspects)}}).dump();
}

std::string encodeNews(const QuarantineNews &news, TimePoint now, std::uint64_t wallNow)
{
    json crashes = json::array();
    for (const CrashReport &it : news.crashes)
        crashes.push_back(toJson(it));
    json answered = json::array();
    for (const AnsweredSubject &it : news.answered)
        answered.push_back(toJson(it));
    json verdicts = json::array();
    for (const SubjectVerdict &it : news.verdicts)
        verdicts.push_back({wire::binary(encodeVerdict(it, now, wallNow)), it.verdict.generation,
                            microseconds(it.verdict.expiresAt - now)});
    return wire::toCbor(
        json::array({std::move(crashes), std::move(answered), std::move(verdicts)}));
}

Result<QuarantineNews> decodeNews(std::string_view bytes, const std::string &peer, TimePoint now,
                                  std::uint64_t wallNow)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "quarantine.decode", peer));
    QuarantineNews news;
    const bool isNews = value.is_array() && value.size() == 3
        && readList(value[0], news.crashes, readCrash)
        && readList(value[1], news.answered, readAnswered) && value[2].is_array()
        && value[2].size() <= maxNews;
    if (!isNews)
        return malformed("news", peer);
    for (const json &it : value[2]) {
        Duration lifetime{0};
        const bool isEntry = it.is_array() && it.size() == 3 && it[0].is_binary()
            && it[1].is_number_unsigned() && readDuration(it[2], lifetime);
        if (!isEntry)
            return malformed("news", peer);
        const auto &binary = it[0].get_binary();
        BOOST_LEAF_AUTO(
            verdict,
            decodeVerdict({reinterpret_cast<const char *>(binary.data()), binary.size()}, peer, now,
                          wallNow));
        verdict.verdict.generation = it[1].get<std::uint64_t>();
        verdict.verdict.expiresAt = now + lifetime;
        news.verdicts.push_back(std::move(verdict));
    }
    return Result<QuarantineNews>(std::move(news));
}

} // namespace kumquathaven::quarantine
