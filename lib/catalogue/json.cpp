// Conversion of the catalogue and the instances to and from JSON.

#include "kumquathaven/catalogue/json.h"

#include "entries.h"
#include "fields.h"
#include "rollouts.h"

#include "kumquathaven/catalogue/names.h"
#include "kumquathaven/settings/settings.h"

namespace kumquathaven::catalogue {

namespace {

// Twice the design size of 700 customers and 10,000 servers.
constexpr std::size_t maxEntriesOfKind = 20'000;
constexpr std::size_t maxInstances = 10'000;
constexpr std::uint32_t maxInstanceWeight = 100'000;
/// Milliseconds since 1970. The limit lies in the year 2255, so that arithmetic in nanoseconds
/// stays in range.
constexpr std::uint64_t maxInstanceSince = 9'000'000'000'000;

template <typename Entry>
nlohmann::json listOf(const std::map<std::string, Entry> &entries)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &it : entries)
        list.push_back(toJson(it.second));
    return list;
}

/// Reads a list of entries into a map keyed by name. \p read reads one entry.
template <typename Entry, typename Read>
Result<std::map<std::string, Entry>> readList(Fields &fields, const std::string &field, Read read)
{
    std::map<std::string, Entry> entries;
    const nlohmann::json *list = fields.find(field, Presence::Optional);
    if (!list)
        return entries;
    if (!list->is_array() || list->size() > maxEntriesOfKind) {
        fields.reject(field, "must be a list of at most " + std::to_string(maxEntriesOfKind));
        return entries;
    }
    for (const nlohmann::json &it : *list) {
        BOOST_LEAF_AUTO(entry, read(it));
        const std::string name = entry.head.name;
        if (!entries.emplace(name, std::move(entry)).second)
            fields.reject(field, "has two entries named \"" + name + "\"");
    }
    return entries;
}

std::vector<ServerWeights> serversOf(const Catalogue &catalogue)
{
    std::vector<ServerWeights> servers;
    for (const auto &it : catalogue.serverWeights)
        servers.push_back(it.second);
    return servers;
}

void readWeights(Fields &fields, Catalogue &catalogue)
{
    const nlohmann::json *weights = fields.find("weights", Presence::Optional);
    if (!weights)
        return;
    if (!weights->is_object() || weights->size() > maxEntriesOfKind) {
        fields.reject("weights", "must map models to versions");
        return;
    }
    for (const auto &[model, version] : weights->items()) {
        if (version.is_number_unsigned())
            catalogue.weights[model] = version.get<std::uint64_t>();
        else
            fields.reject("weights", "must map models to versions");
    }
}

} // namespace

nlohmann::json toJson(const Catalogue &catalogue)
{
    nlohmann::json value{{"revision", catalogue.revision},
                         {"customers", listOf(catalogue.customers)},
                         {"keys", listOf(catalogue.keys)},
                         {"upstreams", listOf(catalogue.upstreams)},
                         {"routes", listOf(catalogue.routes)}};
    if (catalogue.declaration.text)
        value["declaration"] = toJson(catalogue.declaration);
    if (!catalogue.weights.empty())
        value["weights"] = catalogue.weights;
    if (!catalogue.controlLinks.empty())
        value["controlLinks"] = catalogue.controlLinks;
    if (!catalogue.serverWeights.empty())
        value["serverWeights"] = toJson(serversOf(catalogue));
    // Versions without rollouts read the catalogue until the first one is ordered.
    if (!catalogue.rollouts.empty())
        value["rollouts"] = toJson(catalogue.rollouts);
    return value;
}

Result<Catalogue> catalogueFromJson(const nlohmann::json &value)
{
    Catalogue catalogue;
    Fields fields(value, "catalogue");
    fields.number("revision", catalogue.revision);
    BOOST_LEAF_ASSIGN(catalogue.customers,
                      readList<Customer>(fields, "customers", customerFromJson));
    BOOST_LEAF_ASSIGN(catalogue.keys, readList<Key>(fields, "keys", keyFromJson));
    BOOST_LEAF_ASSIGN(catalogue.upstreams,
                      readList<Upstream>(fields, "upstreams", upstreamFromJson));
    BOOST_LEAF_ASSIGN(catalogue.routes, readList<Route>(fields, "routes", routeFromJson));
    if (const nlohmann::json *it = fields.find("declaration", Presence::Optional)) {
        BOOST_LEAF_ASSIGN(catalogue.declaration, declarationFromJson(*it));
    }
    readWeights(fields, catalogue);
    fields.texts("controlLinks", catalogue.controlLinks);
    if (const nlohmann::json *it = fields.find("serverWeights", Presence::Optional)) {
        BOOST_LEAF_AUTO(servers, serverWeightsFromJson(*it));
        for (const ServerWeights &server : servers)
            catalogue.serverWeights[server.server + "/" + server.model] = server;
    }
    if (const nlohmann::json *it = fields.find("rollouts", Presence::Optional)) {
        BOOST_LEAF_ASSIGN(catalogue.rollouts, rolloutsFromJson(*it));
    }
    BOOST_LEAF_CHECK(fields.finish());
    return catalogue;
}

nlohmann::json toJson(const Instance &instance)
{
    return {{"name", instance.name},
            {"region", instance.region},
            {"failureDomain", instance.failureDomain},
            {"callers", instance.callers},
            {"link", instance.link},
            {"weight", instance.weight},
            {"state", nameOf(instanceStateNames, instance.state)},
            {"incarnation", instance.incarnation},
            {"since", instance.since},
            {"place", instance.place}};
}

Result<Instance> instanceFromJson(const nlohmann::json &value)
{
    Instance instance;
    Fields fields(value, subjectOf("instance", value));
    fields.name("name", instance.name);
    fields.text("region", instance.region);
    fields.text("failureDomain", instance.failureDomain);
    fields.text("callers", instance.callers);
    fields.text("link", instance.link);
    fields.number("weight", instance.weight, 1U, maxInstanceWeight);
    fields.choice("state", instance.state, instanceStateNames);
    fields.number("incarnation", instance.incarnation);
    fields.number("since", instance.since, std::uint64_t{0}, maxInstanceSince);
    fields.number("place", instance.place);
    for (const auto &it : {std::pair{"callers", instance.callers}, {"link", instance.link}}) {
        if (!it.second.empty() && settings::parseAddress(it.second).port == 0)
            fields.reject(it.first, "must be an IP address and a port");
    }
    BOOST_LEAF_CHECK(fields.finish());
    return instance;
}

namespace {

nlohmann::json unprovenDeparturesToJson(const Instances &instances)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[departure, place] : instances.unprovenDepartures)
        list.push_back({{"departure", departure}, {"place", place}});
    return list;
}

void readUnprovenDepartures(Fields &fields, Instances &instances)
{
    const nlohmann::json *list = fields.find("unended", Presence::Optional);
    if (!list) {
        // A state in the format from before instances announced places proves no process's end.
        if (instances.departures > 0)
            instances.unprovenDepartures[instances.departures] = 0;
        return;
    }
    if (!list->is_array() || list->size() > maxUnprovenDepartures) {
        fields.reject("unended",
                      "must be a list of at most " + std::to_string(maxUnprovenDepartures));
        return;
    }
    for (const nlohmann::json &value : *list) {
        Fields it(value, "unended");
        std::uint64_t departure = 0;
        std::uint64_t place = 0;
        it.number("departure", departure);
        it.number("place", place);
        instances.unprovenDepartures[departure] = place;
    }
}

} // namespace

nlohmann::json toJson(const Instances &instances)
{
    return {{"epoch", instances.epoch},
            {"departures", instances.departures},
            {"unended", unprovenDeparturesToJson(instances)},
            {"hinted", instances.hinted},
            {"entries", listOf(instances.entries)}};
}

Result<Instances> instancesFromJson(const nlohmann::json &value)
{
    Instances instances;
    Fields fields(value, "instances");
    fields.number("epoch", instances.epoch);
    fields.number("departures", instances.departures);
    readUnprovenDepartures(fields, instances);
    std::vector<std::string> hinted;
    fields.texts("hinted", hinted);
    instances.hinted.insert(hinted.begin(), hinted.end());
    const nlohmann::json *list = fields.find("entries", Presence::Required);
    if (list && list->is_array() && list->size() <= maxInstances) {
        for (const nlohmann::json &it : *list) {
            BOOST_LEAF_AUTO(instance, instanceFromJson(it));
            instances.entries[instance.name] = instance;
        }
    } else {
        fields.reject("entries", "must be a list of at most " + std::to_string(maxInstances));
    }
    BOOST_LEAF_CHECK(fields.finish());
    return instances;
}

} // namespace kumquathaven::catalogue
