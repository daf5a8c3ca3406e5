#include "kumquathaven/overlay/messages.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace kumquathaven::overlay {

namespace {

using nlohmann::json;

// Bounds far above what instances send, which keep arithmetic in range.
constexpr std::size_t maxLevels = 100'000;
constexpr std::size_t maxEvents = 10'000;
constexpr std::size_t maxFacts = 10'000;
constexpr std::int64_t maxValue = std::int64_t{1} << 50U;
constexpr std::uint64_t maxAgeUs = 3'600'000'000;
constexpr std::uint32_t maxInstances = 1'000'000;

std::uint64_t microseconds(Duration d)
{
    return std::min(maxAgeUs, static_cast<std::uint64_t>(std::max<std::int64_t>(0, d.count())));
}

bool readValue(const json &value, std::int64_t &out)
{
    const auto number = wire::toInteger(value);
    if (!number || *number > maxValue || *number < -maxValue)
        return false;
    out = *number;
    return true;
}

bool readAge(const json &value, Duration &out)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxAgeUs)
        return false;
    out = Duration(static_cast<Duration::rep>(value.get<std::uint64_t>()));
    return true;
}

bool readKey(const json &value, Key &out)
{
    if (!value.is_number_unsigned())
        return false;
    out = value.get<Key>();
    return true;
}

bool readBytes(const json &value, std::string &out)
{
    if (!value.is_binary())
        return false;
    const auto &bytes = value.get_binary();
    out.assign(bytes.begin(), bytes.end());
    return true;
}

/// Levels are encoded without an array for each of them, since they are most of a message.
bool readLevels(const json &value, std::vector<LevelUpdate> &out)
{
    constexpr std::size_t fields = 3;
    if (!value.is_array() || value.size() % fields != 0 || value.size() / fields > maxLevels)
        return false;
    out.resize(value.size() / fields);
    for (std::size_t n = 0; n < out.size(); ++n) {
        LevelUpdate &it = out[n];
        if (!readKey(value[fields * n], it.key) || !readValue(value[fields * n + 1], it.value)
            || !readAge(value[fields * n + 2], it.sinceDecrease))
            return false;
    }
    return true;
}

bool readIncrements(const json &value, std::vector<Increment> &out)
{
    constexpr std::size_t fields = 2;
    if (!value.is_array() || value.size() % fields != 0 || value.size() / fields > maxLevels)
        return false;
    out.resize(value.size() / fields);
    for (std::size_t n = 0; n < out.size(); ++n) {
        if (!readKey(value[fields * n], out[n].key)
            || !readValue(value[fields * n + 1], out[n].amount))
            return false;
    }
    return true;
}

bool readEvents(const json &value, std::vector<Event> &out)
{
    if (!value.is_array() || value.size() > maxEvents)
        return false;
    out.resize(value.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        const json &it = value[n];
        const bool isEvent = it.is_array() && it.size() == 3 && readKey(it[0], out[n].key)
            && readBytes(it[1], out[n].bytes) && readAge(it[2], out[n].age);
        if (!isEvent)
            return false;
    }
    return true;
}

bool readFacts(const json &value, std::vector<Fact> &out)
{
    if (!value.is_array() || value.size() > maxFacts)
        return false;
    out.resize(value.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        const json &it = value[n];
        const bool isFact = it.is_array() && it.size() == 4 && readKey(it[0], out[n].key)
            && it[1].is_number_unsigned() && readBytes(it[2], out[n].bytes)
            && readAge(it[3], out[n].lifetime);
        if (!isFact)
            return false;
        out[n].generation = it[1].get<std::uint64_t>();
    }
    return true;
}

boost::leaf::error_id malformed(const char *what, const std::string &peer)
{
    return fail({ErrorCode::InvalidRequest,
                 "overlay.decode",
                 peer,
                 std::string("malformed ") + what,
                 Outcome::NotRun,
                 {}});
}

} // namespace

std::string encodeUpdate(const Update &update)
{
    json levels = json::array();
    for (const LevelUpdate &it : update.levels) {
        levels.push_back(it.key);
        levels.push_back(it.value);
        levels.push_back(microseconds(it.sinceDecrease));
    }
    json increments = json::array();
    for (const Increment &it : update.increments) {
        increments.push_back(it.key);
        increments.push_back(it.amount);
    }
    json events = json::array();
    for (const Event &it : update.events)
        events.push_back({it.key, wire::binary(it.bytes), microseconds(it.age)});
    json message = json::array({update.instances, std::move(levels), std::move(increments),
                                std::move(events), wire::binary(update.note)});
    // Instances of the version before facts accept messages without them.
    if (update.facts.empty())
        return wire::toCbor(message);
    json facts = json::array();
    for (const Fact &it : update.facts)
        facts.push_back({it.key, it.generation, wire::binary(it.bytes), microseconds(it.lifetime)});
    message.push_back(std::move(facts));
    return wire::toCbor(message);
}

Result<Update> decodeUpdate(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "overlay.decode", peer));
    Update update;
    const bool hasFacts = value.is_array() && value.size() == 6;
    const bool isUpdate = value.is_array() && (value.size() == 5 || hasFacts)
        && value[0].is_number_unsigned() && value[0].get<std::uint64_t>() <= maxInstances
        && readLevels(value[1], update.levels) && readIncrements(value[2], update.increments)
        && readEvents(value[3], update.events) && readBytes(value[4], update.note)
        && (!hasFacts || readFacts(value[5], update.facts));
    if (!isUpdate)
        return malformed("update", peer);
    update.instances = value[0].get<std::uint32_t>();
    return Result<Update>(std::move(update));
}

std::string encodeJoin(const TreeNode &self)
{
    return wire::toCbor(json::array({self.failureDomain, self.weight}));
}

Result<TreeNode> decodeJoin(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "overlay.decode", peer));
    const bool isJoin = value.is_array() && value.size() == 2 && value[0].is_string()
        && value[1].is_number_unsigned()
        && value[1].get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (!isJoin)
        return malformed("join", peer);
    return TreeNode{peer, value[0].get<std::string>(), value[1].get<std::uint32_t>()};
}

} // namespace kumquathaven::overlay
