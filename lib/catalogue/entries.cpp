#include "entries.h"

#include "fields.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/catalogue/names.h"
#include "kumquathaven/settings/settings.h"

#include <algorithm>

namespace kumquathaven::catalogue {

namespace {

constexpr std::uint64_t maxTokensPerSecond = 1'000'000'000;
constexpr std::uint64_t maxBurstTokens = 1'000'000'000'000;
constexpr std::uint32_t maxConcurrentRequests = 1'000'000;
constexpr std::uint32_t maxOutputTokens = 100'000'000;
constexpr std::uint32_t maxDeadlineMs = 24 * 60 * 60 * 1000;
constexpr std::uint32_t maxWeight = 1'000'000;
constexpr std::uint32_t maxLoadSlots = 10'000;
constexpr std::size_t sha256HexDigits = 64;

nlohmann::json limitsToJson(const Limits &limits)
{
    return {{"rateTokensPerSecond", limits.rateTokensPerSecond},
            {"burstTokens", limits.burstTokens},
            {"maxConcurrent", limits.maxConcurrent},
            {"maxOutputTokens", limits.maxOutputTokens},
            {"deadlineMs", limits.deadlineMs}};
}

Result<Limits> limitsFromJson(const nlohmann::json &value, const std::string &subject)
{
    Limits limits;
    Fields fields(value, subject + ": limits");
    fields.number("rateTokensPerSecond", limits.rateTokensPerSecond, std::uint64_t{0},
                  maxTokensPerSecond);
    fields.number("burstTokens", limits.burstTokens, std::uint64_t{0}, maxBurstTokens);
    fields.number("maxConcurrent", limits.maxConcurrent, 0U, maxConcurrentRequests);
    fields.number("maxOutputTokens", limits.maxOutputTokens, 0U, maxOutputTokens);
    fields.number("deadlineMs", limits.deadlineMs, 0U, maxDeadlineMs);
    BOOST_LEAF_CHECK(fields.finish());
    return limits;
}

nlohmann::json headToJson(const EntryHead &head)
{
    return {{"name", head.name},
            {"owner", head.owner},
            {"class", nameOf(serviceClassNames, head.serviceClass)},
            {"limits", limitsToJson(head.limits)}};
}

Result<EntryHead> readHead(Fields &fields, const std::string &subject)
{
    EntryHead head;
    fields.name("name", head.name);
    fields.text("owner", head.owner, Presence::Required);
    fields.choice("class", head.serviceClass, serviceClassNames);
    if (const nlohmann::json *limits = fields.find("limits", Presence::Optional)) {
        BOOST_LEAF_ASSIGN(head.limits, limitsFromJson(*limits, subject));
    }
    return head;
}

nlohmann::json desiredToJson(const DesiredState &desired)
{
    return {{"weightsVersion", desired.weightsVersion},
            {"adapters", desired.adapters},
            {"role", desired.role}};
}

Result<DesiredState> desiredFromJson(const nlohmann::json &value, const std::string &subject)
{
    DesiredState desired;
    Fields fields(value, subject + ": desired");
    fields.text("weightsVersion", desired.weightsVersion);
    fields.texts("adapters", desired.adapters);
    fields.text("role", desired.role);
    if (desired.weightsVersion.empty() && !desired.adapters.empty())
        fields.reject("weightsVersion", "must be set if \"adapters\" is set");
    BOOST_LEAF_CHECK(fields.finish());
    return desired;
}

bool isSha256(const std::string &text)
{
    const auto isDigit = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == sha256HexDigits && std::all_of(text.begin(), text.end(), isDigit);
}

Result<void> readKindFields(Fields &fields, const std::string &, Customer &customer)
{
    fields.number("weight", customer.weight, 1U, maxWeight);
    return {};
}

Result<void> readKindFields(Fields &fields, const std::string &, Key &key)
{
    fields.name("customer", key.customer);
    fields.text("sha256", key.sha256, Presence::Required);
    if (!isSha256(key.sha256))
        fields.reject("sha256", "must consist of 64 lower-case hexadecimal digits");
    fields.flag("withdrawn", key.withdrawn);
    fields.flag("cutsStreams", key.cutsStreams);
    return {};
}

Result<void> readKindFields(Fields &fields, const std::string &subject, Upstream &upstream)
{
    fields.choice("kind", upstream.kind, upstreamKindNames);
    fields.text("address", upstream.address, Presence::Required);
    if (settings::parseAddress(upstream.address).port == 0)
        fields.reject("address", "must be an IP address and a port, for example 10.0.0.7:8000");
    fields.text("failureDomain", upstream.failureDomain);
    fields.text("model", upstream.model);
    fields.text("weightsVersion", upstream.weightsVersion);
    fields.text("release", upstream.release);
    fields.texts("adapters", upstream.adapters);
    if (const nlohmann::json *desired = fields.find("desired", Presence::Optional)) {
        BOOST_LEAF_ASSIGN(upstream.desired, desiredFromJson(*desired, subject));
    }
    fields.flag("checksFencing", upstream.checksFencing);
    fields.number("loadSlots", upstream.loadSlots, 1U, maxLoadSlots);
    fields.text("credential", upstream.credential);
    fields.choice("state", upstream.state, upstreamStateNames);
    if (upstream.kind == UpstreamKind::Engine && upstream.model.empty())
        fields.reject("model", "must name the engine's model");
    if (upstream.kind != UpstreamKind::Engine && upstream.desired)
        fields.reject("desired", "is for engines only");
    if (upstream.kind != UpstreamKind::WeightStore && upstream.loadSlots != 1)
        fields.reject("loadSlots", "is for weight stores only");
    return {};
}

Result<void> readKindFields(Fields &fields, const std::string &, Route &route)
{
    fields.text("model", route.model);
    fields.text("pathPrefix", route.pathPrefix);
    fields.texts("upstreams", route.upstreams);
    fields.flag("openToAll", route.openToAll);
    fields.flag("repeatable", route.repeatable);
    if (route.model.empty() == route.pathPrefix.empty())
        fields.reject("model", "or field \"pathPrefix\" must be set, and not both");
    if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
        fields.reject("pathPrefix", "must begin with \"/\"");
    if (!route.pathPrefix.empty() && route.upstreams.empty())
        fields.reject("upstreams", "must name at least one plain service");
    return {};
}

/// Reads one entry. The overload of readKindFields() for its type reads the fields after the head.
template <typename Entry>
Result<Entry> readEntry(const char *kind, const nlohmann::json &value)
{
    const std::string subject = subjectOf(kind, value);
    Entry entry;
    Fields fields(value, subject);
    BOOST_LEAF_ASSIGN(entry.head, readHead(fields, subject));
    BOOST_LEAF_CHECK(readKindFields(fields, subject, entry));
    BOOST_LEAF_CHECK(fields.finish());
    return entry;
}

} // namespace

std::uint32_t loadSlotsOf(const Catalogue &catalogue)
{
    std::uint32_t slots = 0;
    for (const auto &it : catalogue.upstreams) {
        const Upstream &upstream = it.second;
        if (upstream.kind == UpstreamKind::WeightStore)
            slots = slots == 0 ? upstream.loadSlots : std::min(slots, upstream.loadSlots);
    }
    return std::max(1U, slots);
}

nlohmann::json toJson(const Customer &customer)
{
    nlohmann::json value = headToJson(customer.head);
    value["weight"] = customer.weight;
    return value;
}

Result<Customer> customerFromJson(const nlohmann::json &value)
{
    return readEntry<Customer>("customer", value);
}

nlohmann::json toJson(const Key &key)
{
    nlohmann::json value = headToJson(key.head);
    value["customer"] = key.customer;
    value["sha256"] = key.sha256;
    value["withdrawn"] = key.withdrawn;
    value["cutsStreams"] = key.cutsStreams;
    return value;
}

Result<Key> keyFromJson(const nlohmann::json &value)
{
    return readEntry<Key>("key", value);
}

nlohmann::json toJson(const Upstream &upstream)
{
    nlohmann::json value = headToJson(upstream.head);
    value["kind"] = nameOf(upstreamKindNames, upstream.kind);
    value["address"] = upstream.address;
    value["failureDomain"] = upstream.failureDomain;
    value["model"] = upstream.model;
    value["weightsVersion"] = upstream.weightsVersion;
    if (!upstream.release.empty())
        value["release"] = upstream.release;
    value["adapters"] = upstream.adapters;
    if (upstream.desired)
        value["desired"] = desiredToJson(*upstream.desired);
    value["checksFencing"] = upstream.checksFencing;
    if (upstream.kind == UpstreamKind::WeightStore)
        value["loadSlots"] = upstream.loadSlots;
    value["credential"] = upstream.credential;
    value["state"] = nameOf(upstreamStateNames, upstream.state);
    return value;
}

Result<Upstream> upstreamFromJson(const nlohmann::json &value)
{
    return readEntry<Upstream>("upstream", value);
}

nlohmann::json toJson(const Route &route)
{
    nlohmann::json value = headToJson(route.head);
    value["model"] = route.model;
    value["pathPrefix"] = route.pathPrefix;
    value["upstreams"] = route.upstreams;
    value["openToAll"] = route.openToAll;
    value["repeatable"] = route.repeatable;
    return value;
}

Result<Route> routeFromJson(const nlohmann::json &value)
{
    return readEntry<Route>("route", value);
}

} // namespace kumquathaven::catalogue
