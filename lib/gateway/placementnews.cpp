#include "placementnews.h"

#include "servertables.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace kumquathaven::gateway {

namespace {

using nlohmann::json;

constexpr std::size_t maxTold = 256;
constexpr std::size_t maxParts = 64;
constexpr std::uint64_t maxPartTokens = 10'000'000;
/// Beyond any queue of prompts at one server.
constexpr std::uint64_t maxBacklogTokens = 1'000'000'000;
/// A minute; an engine with longer pauses gives no answer in time.
constexpr std::uint64_t maxPauseUs = 60'000'000;
/// A change of a backlog that matters to the choice: a few short prompts.
constexpr std::uint64_t leastChange = 2'000;

json toJson(const PlacedPrompt &it)
{
    json parts = json::array();
    for (const deployment::PromptPart &part : it.parts)
        parts.push_back({part.id, part.tokens});
    return {it.start, it.customer, it.model, it.version, it.store, std::move(parts)};
}

std::uint64_t microsecondsOf(Duration d)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(d).count();
    return std::min(maxPauseUs, static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0)));
}

bool readPart(const json &value, deployment::PromptPart &part)
{
    const bool isPart = value.is_array() && value.size() == 2 && value[0].is_string()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= maxPartTokens;
    if (isPart)
        part = {value[0].get<std::string>(), value[1].get<std::uint64_t>()};
    return isPart;
}

bool readPrompt(const json &value, PlacedPrompt &out)
{
    const bool isPrompt = value.is_array() && value.size() == 6 && value[0].is_string()
        && value[1].is_string() && value[2].is_string() && value[3].is_string()
        && value[4].is_string() && value[5].is_array() && value[5].size() <= maxParts;
    if (!isPrompt)
        return false;
    out.start = value[0].get<std::string>();
    out.customer = value[1].get<std::string>();
    out.model = value[2].get<std::string>();
    out.version = value[3].get<std::string>();
    out.store = value[4].get<std::string>();
    for (const json &it : value[5]) {
        deployment::PromptPart part;
        if (!readPart(it, part))
            return false;
        out.parts.push_back(std::move(part));
    }
    return true;
}

bool readBacklog(const json &value, ServerBacklog &out)
{
    const bool isBacklog = value.is_array() && value.size() == 2 && value[0].is_string()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= maxBacklogTokens;
    if (isBacklog)
        out = {value[0].get<std::string>(), value[1].get<std::uint64_t>()};
    return isBacklog;
}

bool readStoreNews(const json &value, StoreNews &out)
{
    const bool isNews = value.is_array() && value.size() == 2 && value[0].is_number_unsigned()
        && value[1].is_boolean();
    if (isNews)
        out = {value[0].get<std::uint64_t>(), value[1].get<bool>()};
    return isNews;
}

bool readPace(const json &value, ServerPace &out)
{
    const bool isPace = value.is_array() && value.size() == 2 && value[0].is_string()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= maxPauseUs;
    if (isPace)
        out = {value[0].get<std::string>(),
               std::chrono::microseconds(value[1].get<std::uint64_t>())};
    return isPace;
}

bool readFinding(const json &value, ServerFinding &out)
{
    const bool isFinding = value.is_array() && value.size() == 4 && value[0].is_string()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() < findingKindNames.size()
        && value[2].is_string() && value[3].is_number_unsigned();
    if (isFinding)
        out = {value[0].get<std::string>(), static_cast<FindingKind>(value[1].get<std::uint64_t>()),
               value[2].get<std::string>(), value[3].get<std::uint64_t>()};
    return isFinding;
}

/// Reads a list of at most maxTold; returns whether all of it is well formed.
template <typename T>
bool readList(const json &value, bool (*read)(const json &, T &), std::vector<T> &out)
{
    if (!value.is_array() || value.size() > maxTold)
        return false;
    out.resize(value.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        if (!read(value[n], out[n]))
            return false;
    }
    return true;
}

/// Returns whether the others are to be told of a backlog.
bool isToTell(const ToldBacklog &told, std::uint64_t tokens, TimePoint now)
{
    const std::uint64_t change = std::max(told.tokens, tokens) - std::min(told.tokens, tokens);
    const bool isStale = tokens > 0 && now - told.at >= backlogInterval;
    return change >= leastChange || (change > 0 && tokens == 0) || isStale;
}

/// Takes the pause of a server that the others are to be told, if enough pieces came for one.
std::optional<Duration> takePace(KnownServer &server)
{
    const std::optional<double> pause = routing::decodePause(server.untoldPauses);
    if (!pause)
        return std::nullopt;
    server.untoldPauses = {};
    return fromSeconds(*pause);
}

/// Takes the first maxTold of a list.
template <typename T>
std::vector<T> takeFirst(std::vector<T> &list)
{
    const auto end = list.begin() + static_cast<std::ptrdiff_t>(std::min(list.size(), maxTold));
    std::vector<T> taken(list.begin(), end);
    list.erase(list.begin(), end);
    return taken;
}

} // namespace

News takeNews(Servers &servers, TimePoint now)
{
    News news;
    news.prompts = takeFirst(servers.news);
    news.stored = takeFirst(servers.storeNews);
    news.findings = takeFirst(servers.findings);
    for (auto &[start, server] : servers.known) {
        if (news.paces.size() < maxTold) {
            if (const auto pause = takePace(server))
                news.paces.push_back({start, *pause});
        }
        const auto tokens = static_cast<std::uint64_t>(
            routing::outstandingTokens(servers.fleet.upstreams[server.slot]));
        if (news.backlogs.size() >= maxTold || !isToTell(server.told, tokens, now))
            continue;
        server.told = {tokens, now};
        news.backlogs.push_back({start, tokens});
    }
    return news;
}

void takeNewsOf(Servers &servers, const std::string &peer, const News &news, TimePoint now)
{
    for (const PlacedPrompt &it : news.prompts)
        notePlaced(servers, it, now);
    for (const ServerBacklog &it : news.backlogs)
        noteBacklog(servers, peer, it, now);
    for (const StoreNews &it : news.stored)
        noteStoreNews(servers, it, now);
    for (const ServerPace &it : news.paces)
        notePace(servers, it);
    for (const ServerFinding &it : news.findings)
        noteFinding(servers, peer, it, now);
}

std::string encodeNews(const News &news)
{
    json prompts = json::array();
    for (const PlacedPrompt &it : news.prompts)
        prompts.push_back(toJson(it));
    json backlogs = json::array();
    for (const ServerBacklog &it : news.backlogs)
        backlogs.push_back({it.start, it.tokens});
    json stored = json::array();
    for (const StoreNews &it : news.stored)
        stored.push_back({it.block, it.isThere});
    json paces = json::array();
    for (const ServerPace &it : news.paces)
        paces.push_back({it.start, microsecondsOf(it.pause)});
    json findings = json::array();
    for (const ServerFinding &it : news.findings)
        findings.push_back({it.start, static_cast<std::uint64_t>(it.kind), it.model, it.version});
    return wire::toCbor(json::array({std::move(prompts), std::move(backlogs), std::move(stored),
                                     std::move(paces), std::move(findings)}));
}

Result<News> decodeNews(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.placements", peer));
    News news;
    const bool isNews = value.is_array() && value.size() == 5
        && readList(value[0], readPrompt, news.prompts)
        && readList(value[2], readStoreNews, news.stored)
        && readList(value[3], readPace, news.paces)
        && readList(value[4], readFinding, news.findings)
        && readList(value[1], readBacklog, news.backlogs);
    if (!isNews)
        return fail({ErrorCode::InvalidRequest,
                     "gateway.placements",
                     peer,
                     "not news of prompts and backlogs",
                     Outcome::NotRun,
                     {}});
    return Result<News>(std::move(news));
}

} // namespace kumquathaven::gateway
