#include "peerupdate.h"

#include "servertables.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace kumquathaven::gateway {

namespace {

using nlohmann::json;

constexpr std::size_t maxReported = 256;
constexpr std::size_t maxParts = 64;
constexpr std::uint64_t maxPartTokens = 10'000'000;
/// Upper bound of a backlog, larger than any queue of prompts at one server.
constexpr std::uint64_t maxBacklogTokens = 1'000'000'000;
/// Upper bound of a pause, one minute. An engine with longer pauses gives no answer in time.
constexpr std::uint64_t maxPauseUs = 60'000'000;
/// Minimum change of a backlog that affects the choice of a server: a few short prompts.
constexpr std::uint64_t minBacklogChange = 2'000;

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

bool readStoreUpdate(const json &value, StoreUpdate &out)
{
    const bool isUpdate = value.is_array() && value.size() == 2 && value[0].is_number_unsigned()
        && value[1].is_boolean();
    if (isUpdate)
        out = {value[0].get<std::uint64_t>(), value[1].get<bool>()};
    return isUpdate;
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

bool readObservation(const json &value, ServerObservation &out)
{
    const bool isObservation = value.is_array() && value.size() == 4 && value[0].is_string()
        && value[1].is_number_unsigned()
        && value[1].get<std::uint64_t>() < observationKindNames.size() && value[2].is_string()
        && value[3].is_number_unsigned();
    if (isObservation)
        out = {value[0].get<std::string>(),
               static_cast<ObservationKind>(value[1].get<std::uint64_t>()),
               value[2].get<std::string>(), value[3].get<std::uint64_t>()};
    return isObservation;
}

/// Parses an array of at most maxReported elements. Returns whether all of it is well formed.
template <typename T>
bool readList(const json &value, bool (*read)(const json &, T &), std::vector<T> &out)
{
    if (!value.is_array() || value.size() > maxReported)
        return false;
    out.resize(value.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        if (!read(value[n], out[n]))
            return false;
    }
    return true;
}

/// Returns whether a backlog should be reported to the other instances.
bool shouldReport(const ReportedBacklog &reported, std::uint64_t tokens, TimePoint now)
{
    const std::uint64_t change =
        std::max(reported.tokens, tokens) - std::min(reported.tokens, tokens);
    const bool isStale = tokens > 0 && now - reported.updatedAt >= backlogInterval;
    return change >= minBacklogChange || (change > 0 && tokens == 0) || isStale;
}

/// Returns the pause of a server that is to be reported, and resets it, once enough chunks arrived
/// to compute one.
std::optional<Duration> takeUnreportedPause(KnownServer &server)
{
    const std::optional<double> pause = routing::decodePause(server.unreportedPauses);
    if (!pause)
        return std::nullopt;
    server.unreportedPauses = {};
    return fromSeconds(*pause);
}

/// Removes and returns the first maxReported elements of a list.
template <typename T>
std::vector<T> takeFirst(std::vector<T> &list)
{
    const auto end = list.begin() + static_cast<std::ptrdiff_t>(std::min(list.size(), maxReported));
    std::vector<T> taken(list.begin(), end);
    list.erase(list.begin(), end);
    return taken;
}

} // namespace

PeerUpdate takeUpdate(Servers &servers, TimePoint now)
{
    PeerUpdate update;
    update.prompts = takeFirst(servers.unreportedPrompts);
    update.stored = takeFirst(servers.unreportedStoreUpdates);
    update.observations = takeFirst(servers.observations);
    for (auto &[start, server] : servers.known) {
        if (update.paces.size() < maxReported) {
            if (const auto pause = takeUnreportedPause(server))
                update.paces.push_back({start, *pause});
        }
        const auto tokens = static_cast<std::uint64_t>(
            routing::outstandingTokens(servers.fleet.upstreams[server.slot]));
        if (update.backlogs.size() >= maxReported || !shouldReport(server.reported, tokens, now))
            continue;
        server.reported = {tokens, now};
        update.backlogs.push_back({start, tokens});
    }
    return update;
}

void applyPeerUpdate(Servers &servers, const std::string &peer, const PeerUpdate &update,
                     TimePoint now)
{
    for (const PlacedPrompt &it : update.prompts)
        applyPlacedPrompt(servers, it, now);
    for (const ServerBacklog &it : update.backlogs)
        applyPeerBacklog(servers, peer, it, now);
    for (const StoreUpdate &it : update.stored)
        applyStoreUpdate(servers, it, now);
    for (const ServerPace &it : update.paces)
        applyPeerPace(servers, it);
    for (const ServerObservation &it : update.observations)
        applyObservation(servers, peer, it, now);
}

std::string encodePeerUpdate(const PeerUpdate &update)
{
    json prompts = json::array();
    for (const PlacedPrompt &it : update.prompts)
        prompts.push_back(toJson(it));
    json backlogs = json::array();
    for (const ServerBacklog &it : update.backlogs)
        backlogs.push_back({it.start, it.tokens});
    json stored = json::array();
    for (const StoreUpdate &it : update.stored)
        stored.push_back({it.block, it.isStored});
    json paces = json::array();
    for (const ServerPace &it : update.paces)
        paces.push_back({it.start, microsecondsOf(it.pause)});
    json observations = json::array();
    for (const ServerObservation &it : update.observations)
        observations.push_back(
            {it.start, static_cast<std::uint64_t>(it.kind), it.model, it.version});
    return wire::toCbor(json::array({std::move(prompts), std::move(backlogs), std::move(stored),
                                     std::move(paces), std::move(observations)}));
}

Result<PeerUpdate> decodePeerUpdate(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.placements", peer));
    PeerUpdate update;
    const bool isUpdate = value.is_array() && value.size() == 5
        && readList(value[0], readPrompt, update.prompts)
        && readList(value[2], readStoreUpdate, update.stored)
        && readList(value[3], readPace, update.paces)
        && readList(value[4], readObservation, update.observations)
        && readList(value[1], readBacklog, update.backlogs);
    if (!isUpdate)
        return fail({ErrorCode::InvalidRequest,
                     "gateway.placements",
                     peer,
                     "malformed update of prompts and backlogs",
                     Outcome::NotRun,
                     {}});
    return Result<PeerUpdate>(std::move(update));
}

} // namespace kumquathaven::gateway
