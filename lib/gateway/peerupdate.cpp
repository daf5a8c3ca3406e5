#include "peerupdate.h"

#include "servertables.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/walltime.h"
#include "kumquathaven/quarantine/messages.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace kumquathaven::gateway {

namespace {

using nlohmann::json;

constexpr std::size_t maxParts = 64;
constexpr std::uint64_t maxPartTokens = 10'000'000;
/// Upper bound of a pause, one minute. An engine with longer pauses gives no answer in time.
constexpr std::uint64_t maxPauseUs = 60'000'000;

/// Kinds of events; the first element of an event.
enum class EventKind { Prompt, Stored, Pace, Observation, Crash, Answered };

constexpr std::array<EnumName<EventKind>, 6> eventKindNames = {{
    {EventKind::Prompt, "prompt"},
    {EventKind::Stored, "stored"},
    {EventKind::Pace, "pace"},
    {EventKind::Observation, "observation"},
    {EventKind::Crash, "crash"},
    {EventKind::Answered, "answered"},
}};

json toJson(const PlacedPrompt &it)
{
    json parts = json::array();
    for (const deployment::PromptPart &part : it.parts)
        parts.push_back({part.id, part.tokens});
    return {it.start, it.cacheScope, it.model, it.version, it.store, std::move(parts)};
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
    out.cacheScope = value[1].get<std::string>();
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

/// Builds an event from its kind, the text that identifies what it is about, and its content.
overlay::Event eventOf(EventKind kind, const std::string &subject, json content)
{
    const auto number = static_cast<std::uint64_t>(kind);
    return {combineHash(number, stableHash(subject)),
            wire::toCbor(json::array({number, std::move(content)})), Duration(0)};
}

/// Reads the content of an event into the list that its kind belongs to.
template <typename T>
bool readInto(std::vector<T> &list, bool (*read)(const json &, T &), const json &content)
{
    T value;
    if (!read(content, value))
        return false;
    list.push_back(std::move(value));
    return true;
}

/// Reads an event that names the instance that observed it.
template <typename T>
bool readObserved(PeerUpdate &update, std::vector<T> &list, bool (*read)(const json &, T &),
                  const json &content)
{
    if (!content.is_array() || content.size() != 2 || !content[0].is_string())
        return false;
    update.instance = content[0].get<std::string>();
    return readInto(list, read, content[1]);
}

bool readContent(PeerUpdate &update, EventKind kind, const json &content)
{
    switch (kind) {
    case EventKind::Prompt:
        return readInto(update.prompts, readPrompt, content);
    case EventKind::Stored:
        return readInto(update.stored, readStoreUpdate, content);
    case EventKind::Pace:
        return readObserved(update, update.paces, readPace, content);
    case EventKind::Observation:
        return readObserved(update, update.observations, readObservation, content);
    case EventKind::Crash:
        return readObserved(update, update.crashes, quarantine::readCrash, content);
    case EventKind::Answered:
        return readInto(update.answered, quarantine::readAnswered, content);
    }
    return false;
}

} // namespace

PeerUpdate takeUpdate(Servers &servers, const std::string &instance)
{
    PeerUpdate update;
    update.instance = instance;
    update.prompts = std::exchange(servers.unreportedPrompts, {});
    update.stored = std::exchange(servers.unreportedStoreUpdates, {});
    update.observations = std::exchange(servers.observations, {});
    for (const std::string &start : std::exchange(servers.changedPauses, {})) {
        const auto it = servers.known.find(start);
        if (it == servers.known.end())
            continue;
        if (const auto pause = takeUnreportedPause(it->second))
            update.paces.push_back({start, *pause});
    }
    return update;
}

void applyPeerUpdate(Servers &servers, const PeerUpdate &update, TimePoint now)
{
    for (const PlacedPrompt &it : update.prompts)
        applyPlacedPrompt(servers, it, now);
    for (const StoreUpdate &it : update.stored)
        applyStoreUpdate(servers, it, now);
    for (const ServerPace &it : update.paces)
        applyPeerPace(servers, it);
    for (const ServerObservation &it : update.observations)
        applyObservation(servers, update.instance, it, now);
}

std::vector<overlay::Event> encodeEvents(const PeerUpdate &update)
{
    std::vector<overlay::Event> events;
    for (const PlacedPrompt &it : update.prompts) {
        const std::string part = it.parts.empty() ? std::string() : it.parts.back().id;
        events.push_back(eventOf(EventKind::Prompt,
                                 it.start + '|' + it.cacheScope + '|' + it.model + '|' + it.version
                                     + '|' + it.store + '|' + part,
                                 toJson(it)));
    }
    for (const StoreUpdate &it : update.stored)
        events.push_back(eventOf(EventKind::Stored, std::to_string(it.block),
                                 json::array({it.block, it.isStored})));
    for (const ServerPace &it : update.paces)
        events.push_back(eventOf(
            EventKind::Pace, update.instance + '|' + it.start,
            json::array({update.instance, json::array({it.start, microsecondsOf(it.pause)})})));
    for (const ServerObservation &it : update.observations) {
        const auto kind = static_cast<std::uint64_t>(it.kind);
        events.push_back(eventOf(
            EventKind::Observation,
            update.instance + '|' + it.start + '|' + std::to_string(kind) + '|' + it.model,
            json::array({update.instance, json::array({it.start, kind, it.model, it.version})})));
    }
    for (const quarantine::CrashReport &it : update.crashes) {
        const std::string first = it.suspects.empty() ? std::string() : it.suspects.front().subject;
        events.push_back(eventOf(EventKind::Crash, update.instance + '|' + it.start + '|' + first,
                                 json::array({update.instance, quarantine::toJson(it)})));
    }
    for (const quarantine::AnsweredSubject &it : update.answered)
        events.push_back(eventOf(EventKind::Answered, it.subject, quarantine::toJson(it)));
    return events;
}

overlay::Fact verdictFact(const quarantine::SubjectVerdict &verdict, TimePoint now)
{
    constexpr std::uint64_t seed = 0x7665'7264'6963'74;
    return {stableHash(verdict.subject, seed), verdict.verdict.generation,
            quarantine::encodeVerdict(verdict, now, wallMilliseconds()),
            verdict.verdict.expiresAt - now};
}

Result<quarantine::SubjectVerdict> decodeFact(const overlay::Fact &fact, const std::string &peer,
                                              TimePoint now)
{
    BOOST_LEAF_AUTO(verdict, quarantine::decodeVerdict(fact.bytes, peer, now, wallMilliseconds()));
    verdict.verdict.generation = fact.generation;
    verdict.verdict.expiresAt = now + fact.lifetime;
    return Result<quarantine::SubjectVerdict>(std::move(verdict));
}

Result<PeerUpdate> decodeEvent(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.event", peer));
    PeerUpdate update;
    const bool isEvent = value.is_array() && value.size() == 2 && value[0].is_number_unsigned()
        && value[0].get<std::uint64_t>() < eventKindNames.size()
        && readContent(update, static_cast<EventKind>(value[0].get<std::uint64_t>()), value[1]);
    if (!isEvent)
        return fail({ErrorCode::InvalidRequest,
                     "gateway.event",
                     peer,
                     "malformed event of another entry",
                     Outcome::NotRun,
                     {}});
    return Result<PeerUpdate>(std::move(update));
}

} // namespace kumquathaven::gateway
