// Encodes and decodes the messages that share the platform's list between instances, as CBOR.

#include "listsharing.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

using nlohmann::json;

// Upper bound of servers in a message: several times the number that the system is designed for.
constexpr std::size_t maxServers = 50'000;
constexpr std::size_t maxModels = 256;
constexpr std::uint64_t maxMilliseconds = 3'600'000;
constexpr std::size_t fieldCount = 9;
constexpr std::size_t maxReleaseBytes = 256;

std::uint64_t millisecondsOf(Duration d)
{
    const auto n = std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    return n < 0 ? 0 : std::min(maxMilliseconds, static_cast<std::uint64_t>(n));
}

json toJson(const deployment::ListedServer &it)
{
    json weights = json::object();
    for (const auto &[model, version] : it.weights)
        weights[model] = version;
    return {it.id,
            it.startedAt,
            it.service,
            settings::toString(it.address),
            it.failureDomain,
            it.slots,
            it.isDraining,
            millisecondsOf(it.remainingWarmup),
            std::move(weights)};
}

bool readWeights(const json &value, std::map<std::string, std::uint64_t> &weights)
{
    if (!value.is_object() || value.size() > maxModels)
        return false;
    for (const auto &[model, version] : value.items()) {
        if (!version.is_number_unsigned())
            return false;
        weights[model] = version.get<std::uint64_t>();
    }
    return true;
}

bool readServer(const json &value, deployment::ListedServer &out)
{
    const bool isServer = value.is_array() && value.size() == fieldCount && value[0].is_string()
        && value[1].is_number_unsigned() && value[2].is_string() && value[3].is_string()
        && value[4].is_string() && value[5].is_number_unsigned() && value[6].is_boolean()
        && value[7].is_number_unsigned() && value[7].get<std::uint64_t>() <= maxMilliseconds;
    if (!isServer)
        return false;
    out.id = value[0].get<std::string>();
    out.startedAt = value[1].get<std::uint64_t>();
    out.service = value[2].get<std::string>();
    out.address = settings::parseAddress(value[3].get<std::string>());
    out.failureDomain = value[4].get<std::string>();
    out.slots = value[5].get<std::uint32_t>();
    out.isDraining = value[6].get<bool>();
    out.remainingWarmup = std::chrono::milliseconds(value[7].get<std::uint64_t>());
    return !out.id.empty() && out.address.port != 0 && readWeights(value[8], out.weights);
}

Error malformed(const std::string &peer, const std::string &what)
{
    return {ErrorCode::InvalidRequest, "gateway.list", peer, what, Outcome::NotRun, {}};
}

} // namespace

std::string encodeListRequest(std::uint64_t digest)
{
    return wire::toCbor(digest);
}

Result<std::uint64_t> decodeListRequest(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.list", peer));
    if (!value.is_number_unsigned())
        return fail(malformed(peer, "the request has no list digest"));
    return value.get<std::uint64_t>();
}

std::string encodeList(const ListMessage &message)
{
    json servers;
    if (message.servers != nullptr) {
        servers = json::array();
        for (const deployment::ListedServer &it : *message.servers)
            servers.push_back(toJson(it));
    }
    return wire::toCbor({message.digest, millisecondsOf(message.age), std::move(servers)});
}

Result<ListMessage> decodeList(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.list", peer));
    const bool isMessage = value.is_array() && value.size() == 3 && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= maxMilliseconds
        && (value[2].is_null() || (value[2].is_array() && value[2].size() <= maxServers));
    if (!isMessage)
        return fail(malformed(peer, "the message is not a list of servers"));
    ListMessage message;
    message.digest = value[0].get<std::uint64_t>();
    message.age = std::chrono::milliseconds(value[1].get<std::uint64_t>());
    if (value[2].is_null())
        return Result<ListMessage>(std::move(message));
    ServerList servers(value[2].size());
    for (std::size_t n = 0; n < servers.size(); ++n) {
        if (!readServer(value[2][n], servers[n]))
            return fail(malformed(peer, "the list has a malformed server"));
    }
    message.servers = std::make_shared<const ServerList>(std::move(servers));
    return Result<ListMessage>(std::move(message));
}

std::string encodeListReleases(const ListReleases &releases)
{
    return wire::toCbor(json::array({releases.digest, json(releases.releases)}));
}

Result<ListReleases> decodeListReleases(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "gateway.list", peer));
    const bool isMessage = value.is_array() && value.size() >= 2 && value[0].is_number_unsigned()
        && value[1].is_array() && value[1].size() <= maxServers;
    if (!isMessage)
        return fail(malformed(peer, "the message has no releases of servers"));
    ListReleases result;
    result.digest = value[0].get<std::uint64_t>();
    for (const json &it : value[1]) {
        if (!it.is_string() || it.get_ref<const std::string &>().size() > maxReleaseBytes)
            return fail(malformed(peer, "the message has a malformed release"));
        result.releases.push_back(it.get<std::string>());
    }
    return Result<ListReleases>(std::move(result));
}

std::string encodeFreshness(const ListFreshness &freshness)
{
    return wire::toCbor(json::array({freshness.digest, millisecondsOf(freshness.age)}));
}

std::optional<ListFreshness> decodeFreshness(std::string_view note)
{
    if (note.empty())
        return std::nullopt;
    return orElse(
        [&]() -> Result<std::optional<ListFreshness>> {
            BOOST_LEAF_AUTO(value, wire::fromCbor(note, "gateway.note", {}));
            const bool isFreshness = value.is_array() && value.size() == 2
                && value[0].is_number_unsigned() && value[1].is_number_unsigned()
                && value[1].get<std::uint64_t>() <= maxMilliseconds;
            if (!isFreshness)
                return std::optional<ListFreshness>();
            return std::optional<ListFreshness>(
                {value[0].get<std::uint64_t>(),
                 std::chrono::milliseconds(value[1].get<std::int64_t>())});
        },
        [](const Error &) {
            return std::optional<ListFreshness>();
        });
}

} // namespace kumquathaven::gateway
